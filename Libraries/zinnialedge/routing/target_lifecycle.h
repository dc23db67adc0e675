#pragma once

#include <memory>
#include <string_view>

namespace zinnialedge::routing {

enum class target_state {
    /// Declared, but nothing heard from it yet.
    joining,
    serving,
    /// Takes no new work; what it has in flight goes on.
    draining,
    /// Gone from the declaration and the VM list.
    gone,
};

std::string_view toString(target_state);

/// The state machine of one target. Each event is legal in every state; one that changes nothing is ignored.
class target_lifecycle {
public:
    target_lifecycle();
    target_lifecycle(target_lifecycle&&) noexcept;
    target_lifecycle& operator=(target_lifecycle&&) noexcept;
    ~target_lifecycle();

    void noteHeard();
    void noteDrain();
    void noteUndrain();
    void noteRemoved();
    target_state state() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

}

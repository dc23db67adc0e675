#pragma once

#include <memory>
#include <string_view>

namespace zinnialedge::routing {

enum class target_state {
    /// Declared, but no status was received yet.
    joining,
    serving,
    /// Takes no new calls; the calls in flight run to their end.
    draining,
    /// Removed from the declaration and from the list of VMs.
    gone,
};

std::string_view toString(target_state);

/// State machine of one target. Every event is legal in every state; an event without a transition is ignored.
class target_lifecycle {
public:
    target_lifecycle();
    target_lifecycle(target_lifecycle&&) noexcept;
    target_lifecycle& operator=(target_lifecycle&&) noexcept;
    ~target_lifecycle();

    void handleStatus();
    void handleDrain();
    void handleUndrain();
    void handleRemoval();
    target_state state() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

}

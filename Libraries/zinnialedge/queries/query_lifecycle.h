#pragma once

#include <memory>
#include <string_view>

namespace zinnialedge::queries {

enum class query_state {
    scattering,
    /// Calls the leafs again under the second and last pin.
    scattering_again,
    settled,
};

std::string_view toString(query_state);

/// State machine of one query. Allows at most one repin, and no transition once the query is settled.
class query_lifecycle {
public:
    query_lifecycle();
    query_lifecycle(query_lifecycle&&) noexcept;
    query_lifecycle& operator=(query_lifecycle&&) noexcept;
    ~query_lifecycle();

    /// Records a repin. Returns false when the query was repinned before or is settled.
    [[nodiscard]] bool tryRepin();
    void settle();
    query_state state() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

}

#pragma once

#include <memory>
#include <string_view>

namespace zinnialedge::queries {

enum class query_state {
    scattering,
    /// Asks again under its second and last pin.
    scattering_again,
    settled,
};

std::string_view toString(query_state);

/// The state machine of one query. It allows one new pin at the most, and nothing once the caller has an answer.
class query_lifecycle {
public:
    query_lifecycle();
    query_lifecycle(query_lifecycle&&) noexcept;
    query_lifecycle& operator=(query_lifecycle&&) noexcept;
    ~query_lifecycle();

    /// False when the query was pinned anew before.
    [[nodiscard]] bool repin();
    void settle();
    query_state state() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

}

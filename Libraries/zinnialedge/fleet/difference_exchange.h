#pragma once

#include "Kernel/clock.h"
#include "Libraries/zinnialedge/model/endpoint.h"
#include <optional>

namespace zinnialedge::fleet {

/// Time in which this daemon's own source, a watch of the store or a reader, delivers a change of which other daemons already know.
inline constexpr std::chrono::milliseconds ownSourceTime { 250 };

/// Decides when another daemon that knows another configuration or other evacuations is asked for them, and which one. A change
/// reaches all daemons at nearly the same time, so that the first digest that differs mostly comes just before the change itself.
/// Does no I/O.
class difference_exchange {
public:
    /// Records that the daemon at the endpoint knows something else. `isLocal` tells whether it is in this daemon's data centre.
    void recordDifference(model::endpoint const&, bool isLocal, bool hasOwnSource, kernel::time_point now);
    /// Records that this daemon's own digest has changed, so that earlier differences say nothing.
    void recordOwnChange();

    /// Returns the daemon to ask now, once for each difference.
    std::optional<model::endpoint> takeDueRequest(kernel::time_point now);
    /// Returns the time at which takeDueRequest() returns a daemon.
    std::optional<kernel::time_point> dueTime() const { return m_dueAt; }

private:
    std::optional<kernel::time_point> m_dueAt;
    model::endpoint m_candidate;
    bool m_isCandidateLocal { false };
};

}

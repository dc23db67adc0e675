#include "Libraries/zinnialedge/forwarding/leaf_rate_limit.h"

#include <algorithm>
#include <cmath>

namespace zinnialedge::forwarding {

using kernel::duration;
using kernel::time_point;

/// Longest time without calls for which calls are saved up.
static constexpr std::chrono::duration<double> burstTime { 1.0 };
/// Lowest rate that all daemons together use of a limit, since only the replies to calls show that the limit has ended.
static constexpr double minimumRequestsPerSecond = 0.25;

bool leaf_rate_limit::isValid(double requestsPerSecond)
{
    return std::isfinite(requestsPerSecond) && requestsPerSecond >= 0;
}

bool leaf_rate_limit::set(double requestsPerSecond, double sharers, time_point now)
{
    m_lastNamedAt = now;
    bool const isNew = !m_requestsPerSecond;
    if (isNew) {
        m_inForceSince = now;
        m_calls = {};
        m_share.setAvailableCalls(0, now);
    }
    bool const hasChanged = isNew || *m_requestsPerSecond != requestsPerSecond;
    m_requestsPerSecond = requestsPerSecond;
    m_sharers = sharers;
    updateShare(now);
    return hasChanged;
}

void leaf_rate_limit::setSharers(double sharers, time_point now)
{
    m_sharers = sharers;
    if (m_requestsPerSecond)
        updateShare(now);
}

bool leaf_rate_limit::clear(time_point sentAt)
{
    // The reply to an earlier call may have been written before the leaf named its limit, and may have been overtaken on another connection.
    if (!m_requestsPerSecond || sentAt <= m_lastNamedAt)
        return false;
    m_requestsPerSecond.reset();
    return true;
}

void leaf_rate_limit::updateShare(time_point now)
{
    auto const ownRate = std::max(m_requestsPerSecond.value_or(0), minimumRequestsPerSecond) / std::max(m_sharers, 1.0);
    m_share.setRate(ownRate, std::max(1.0, ownRate * burstTime.count()), now);
}

time_point leaf_rate_limit::nextCallAt(time_point now) const
{
    return isInForce() ? m_share.nextCallAt(now) : now;
}

duration leaf_rate_limit::callInterval() const
{
    return isInForce() ? m_share.callInterval() : duration::zero();
}

void leaf_rate_limit::recordCall(call_origin origin, time_point now)
{
    if (!m_requestsPerSecond)
        return;
    m_share.consume(now);
    switch (origin) {
    case call_origin::first:
        ++m_calls.first;
        break;
    case call_origin::extra:
        ++m_calls.extra;
        break;
    case call_origin::relayed:
        ++m_calls.relayed;
        break;
    }
}

}

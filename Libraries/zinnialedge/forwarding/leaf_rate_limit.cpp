#include "Libraries/zinnialedge/forwarding/leaf_rate_limit.h"

#include <cmath>

namespace zinnialedge::forwarding {

using kernel::time_point;

bool leaf_rate_limit::isValid(double requestsPerSecond)
{
    return std::isfinite(requestsPerSecond) && requestsPerSecond >= 0;
}

bool leaf_rate_limit::set(double requestsPerSecond, time_point now)
{
    m_lastNamedAt = now;
    if (m_requestsPerSecond == requestsPerSecond)
        return false;
    if (!m_requestsPerSecond) {
        m_inForceSince = now;
        m_calls = {};
    }
    m_requestsPerSecond = requestsPerSecond;
    return true;
}

bool leaf_rate_limit::clear(time_point sentAt)
{
    // The reply to an earlier call may have been written before the leaf named its limit, and overtaken on another connection.
    if (!m_requestsPerSecond || sentAt <= m_lastNamedAt)
        return false;
    m_requestsPerSecond.reset();
    return true;
}

void leaf_rate_limit::recordCall(call_origin origin)
{
    if (!m_requestsPerSecond)
        return;
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

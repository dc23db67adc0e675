#include "Libraries/zinnialedge/fleet/difference_exchange.h"

#include <algorithm>

namespace zinnialedge::fleet {

using kernel::time_point;

void difference_exchange::recordDifference(model::endpoint const& endpoint, bool isLocal, bool hasOwnSource, time_point now)
{
    auto const dueAt = hasOwnSource ? now + ownSourceTime : now;
    // Traffic between data centres is charged, so a daemon of the same data centre is asked if one knows the difference.
    if (!m_dueAt || (isLocal && !m_isCandidateLocal)) {
        m_candidate = endpoint;
        m_isCandidateLocal = isLocal;
    }
    m_dueAt = m_dueAt ? std::min(*m_dueAt, dueAt) : dueAt;
}

void difference_exchange::recordOwnChange()
{
    m_dueAt.reset();
    m_isCandidateLocal = false;
}

std::optional<model::endpoint> difference_exchange::takeDueRequest(time_point now)
{
    if (!m_dueAt || now < *m_dueAt)
        return std::nullopt;
    recordOwnChange();
    return m_candidate;
}

}

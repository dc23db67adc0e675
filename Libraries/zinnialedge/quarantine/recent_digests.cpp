#include "Libraries/zinnialedge/quarantine/recent_digests.h"

#include <utility>

namespace zinnialedge::quarantine {

void recent_digests::add(request_digest const& digest, kernel::time_point now)
{
    if (now >= m_currentSince + span || m_current.size() >= capacity) {
        m_previous = std::exchange(m_current, {});
        if (now >= m_currentSince + 2 * span)
            m_previous.clear();
        m_currentSince = now;
    }
    m_current.insert(digest);
}

bool recent_digests::contains(request_digest const& digest, kernel::time_point now) const
{
    if (now >= m_currentSince + 2 * span)
        return false;
    return m_current.contains(digest) || (now < m_currentSince + span && m_previous.contains(digest));
}

}

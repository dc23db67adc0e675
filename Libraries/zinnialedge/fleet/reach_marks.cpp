#include "Libraries/zinnialedge/fleet/reach_marks.h"

namespace zinnialedge::fleet {

bool reach_marks::isMarked(std::string const& address, kernel::time_point now) const
{
    auto const found = m_markedUntil.find(address);
    return found != m_markedUntil.end() && now < found->second;
}

bool reach_marks::observe(std::string const& member, std::string const& address, bool reachesLeafs)
{
    if (!reachesLeafs)
        return m_withoutLeafs.insert(member).second;
    // Another change of a member, such as its strength, says nothing new of its links.
    if (m_withoutLeafs.erase(member) > 0)
        m_markedUntil.erase(address);
    return false;
}

bool reach_marks::removeExpired(kernel::time_point now)
{
    return std::erase_if(m_markedUntil, [&](auto const& entry) { return now >= entry.second; }) > 0;
}

}

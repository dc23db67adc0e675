#include "Libraries/zinnialedge/membership/update_queue.h"

#include <vector>

namespace zinnialedge::membership {

void update_queue::add(std::string const& name)
{
    remove(name);
    m_sendCounts.emplace(name, 0);
    m_namesBySendCount.emplace(0, name);
}

void update_queue::remove(std::string const& name)
{
    auto const found = m_sendCounts.find(name);
    if (found == m_sendCounts.end())
        return;
    m_namesBySendCount.erase({ found->second, name });
    m_sendCounts.erase(found);
}

void update_queue::offerForSending(std::size_t limit, std::function<bool(std::string const&)> const& accept)
{
    std::vector<std::string> accepted;
    for (auto const& [sendCount, name] : m_namesBySendCount) {
        if (!accept(name))
            break;
        accepted.push_back(name);
    }
    for (auto const& name : accepted) {
        auto const sendCount = m_sendCounts.at(name) + 1;
        remove(name);
        if (sendCount >= limit)
            continue;
        m_sendCounts.emplace(name, sendCount);
        m_namesBySendCount.emplace(sendCount, name);
    }
}

}

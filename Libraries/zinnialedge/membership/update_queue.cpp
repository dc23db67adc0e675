#include "Libraries/zinnialedge/membership/update_queue.h"

#include <vector>

namespace zinnialedge::membership {

void update_queue::add(std::string const& name)
{
    remove(name);
    m_told.emplace(name, 0);
    m_order.emplace(0, name);
}

void update_queue::remove(std::string const& name)
{
    auto const found = m_told.find(name);
    if (found == m_told.end())
        return;
    m_order.erase({ found->second, name });
    m_told.erase(found);
}

void update_queue::tell(std::size_t limit, std::function<bool(std::string const&)> const& accept)
{
    std::vector<std::string> accepted;
    for (auto const& [sendCount, name] : m_order) {
        if (!accept(name))
            break;
        accepted.push_back(name);
    }
    for (auto const& name : accepted) {
        auto const sendCount = m_told.at(name) + 1;
        remove(name);
        if (sendCount >= limit)
            continue;
        m_told.emplace(name, sendCount);
        m_order.emplace(sendCount, name);
    }
}

}

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

void update_queue::tell(std::size_t limit, std::function<bool(std::string const&)> const& take)
{
    std::vector<std::string> taken;
    for (auto const& [told, name] : m_order) {
        if (!take(name))
            break;
        taken.push_back(name);
    }
    for (auto const& name : taken) {
        auto const told = m_told.at(name) + 1;
        remove(name);
        if (told >= limit)
            continue;
        m_told.emplace(name, told);
        m_order.emplace(told, name);
    }
}

}

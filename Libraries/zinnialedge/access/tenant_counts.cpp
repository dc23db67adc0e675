#include "Libraries/zinnialedge/access/tenant_counts.h"

#include <algorithm>

namespace zinnialedge::access {

void tenant_counts::removeUndeclared(std::function<bool(std::string const&)> const& isDeclared)
{
    std::erase_if(m_counts, [&](auto const& each) {
        if (isDeclared(each.first))
            return false;
        m_removed.requests += each.second.requests;
        m_removed.overQuota += each.second.overQuota;
        return true;
    });
}

tenant_summary tenant_counts::summarize(std::size_t limit) const
{
    tenant_summary summary;
    summary.most.reserve(m_counts.size());
    for (auto const& [name, each] : m_counts)
        summary.most.push_back({ name, each.requests, each.overQuota });
    std::sort(summary.most.begin(), summary.most.end(), [](auto const& left, auto const& right) {
        return left.requests != right.requests ? left.requests > right.requests : left.name < right.name;
    });
    summary.others = m_removed;
    for (auto index = limit; index < summary.most.size(); ++index) {
        summary.others.requests += summary.most[index].requests;
        summary.others.overQuota += summary.most[index].overQuota;
    }
    summary.most.resize(std::min(limit, summary.most.size()));
    return summary;
}

}

#include "Libraries/zinnialedge/access/tenant_counts.h"

#include <algorithm>

namespace zinnialedge::access {

void tenant_counts::add(tenant_count& sum, tenant_count const& added)
{
    sum.requests += added.requests;
    sum.overQuota += added.overQuota;
    sum.admitted += added.admitted;
    sum.overloaded += added.overloaded;
}

void tenant_counts::removeUndeclared(std::function<bool(std::string const&)> const& isDeclared)
{
    std::erase_if(m_counts, [&](auto const& each) {
        if (isDeclared(each.first))
            return false;
        add(m_removed, each.second);
        return true;
    });
}

tenant_summary tenant_counts::summarize(std::size_t limit) const
{
    tenant_summary summary;
    summary.most.reserve(m_counts.size());
    for (auto const& [name, each] : m_counts) {
        summary.most.push_back(each);
        summary.most.back().name = name;
    }
    std::sort(summary.most.begin(), summary.most.end(), [](auto const& left, auto const& right) {
        return left.requests != right.requests ? left.requests > right.requests : left.name < right.name;
    });
    summary.others = m_removed;
    for (auto index = limit; index < summary.most.size(); ++index)
        add(summary.others, summary.most[index]);
    summary.most.resize(std::min(limit, summary.most.size()));
    return summary;
}

}

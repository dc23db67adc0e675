#include "Libraries/zinnialedge/forwarding/route_table.h"

#include <algorithm>

namespace zinnialedge::forwarding {

route_table::route_table(route_declarations declarations)
    : m_declarations(std::move(declarations))
{
    for (auto const& each : m_declarations.routes)
        m_routesByHost[each.host].push_back(&each);
    for (auto& [host, routes] : m_routesByHost)
        std::stable_sort(routes.begin(), routes.end(), [](auto const* left, auto const* right) { return left->pathPrefix.size() > right->pathPrefix.size(); });
    for (auto const& each : m_declarations.services)
        m_services[each.name] = &each;
    for (auto const& each : m_declarations.tenants) {
        // An empty name stands for no tenant everywhere else, so that nobody's quota would hold for its keys.
        if (each.name.empty())
            continue;
        m_tenantsByName[each.name] = &each;
        for (auto const& key : each.accessKeys)
            m_keysByHash[std::hash<std::string_view> {}(key)].push_back({ key, &each });
    }
}

route const* route_table::find(std::string_view host, std::string_view path) const
{
    auto const routes = m_routesByHost.find(host);
    if (routes == m_routesByHost.end())
        return nullptr;
    auto const found = std::find_if(routes->second.begin(), routes->second.end(), [&](auto const* each) { return path.starts_with(each->pathPrefix); });
    return found == routes->second.end() ? nullptr : *found;
}

service_rules const* route_table::rulesOf(std::string const& service) const
{
    auto const found = m_services.find(service);
    return found == m_services.end() ? nullptr : found->second;
}

std::uint32_t route_table::connectionCapOf(std::string const& service) const
{
    auto const* const rules = rulesOf(service);
    return rules ? rules->connectionCap : service_rules {}.connectionCap;
}

std::string route_table::statusTargetOf(std::string const& service) const
{
    auto const* const rules = rulesOf(service);
    return rules ? rules->statusTarget : service_rules {}.statusTarget;
}

tenant const* route_table::findTenant(std::string_view accessKey) const
{
    auto const sameHash = m_keysByHash.find(std::hash<std::string_view> {}(accessKey));
    if (sameHash == m_keysByHash.end())
        return nullptr;
    auto const found = std::find_if(sameHash->second.begin(), sameHash->second.end(), [&](auto const& each) { return each.key == accessKey; });
    return found == sameHash->second.end() ? nullptr : found->holder;
}

tenant const* route_table::tenantNamed(std::string_view name) const
{
    auto const found = m_tenantsByName.find(name);
    return found == m_tenantsByName.end() ? nullptr : found->second;
}

}

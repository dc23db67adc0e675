#pragma once

#include "Libraries/zinnialedge/forwarding/route.h"
#include "Libraries/zinnialedge/forwarding/tenant.h"
#include <cstdint>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace zinnialedge::forwarding {

/// A declared number that lies beyond its bound, which is used in its place.
struct held_number {
    std::string field;
    /// The number as it was declared.
    std::string declared;
    std::int64_t bound { 0 };

    bool operator==(held_number const&) const = default;
};

/// Declarations from which a route table is built.
struct route_declarations {
    std::uint64_t version { 0 };
    std::vector<route> routes;
    std::vector<service_rules> services;
    caller_limits limits;
    std::vector<tenant> tenants {};
    /// True when the declarations have a list of tenants, which may be empty: no key is valid then.
    bool areTenantsDeclared { false };
    /// Numbers that were not taken as they were declared.
    std::vector<held_number> heldNumbers {};

    bool operator==(route_declarations const&) const = default;
};

/// One version of the declared routes. Route tables are immutable; a request keeps the table under which the request arrived.
class route_table {
public:
    explicit route_table(route_declarations);
    route_table(route_table const&) = delete;
    route_table& operator=(route_table const&) = delete;

    std::uint64_t version() const { return m_declarations.version; }
    caller_limits const& limits() const { return m_declarations.limits; }
    std::vector<route> const& routes() const { return m_declarations.routes; }
    /// Returns the route of the host with the longest prefix of the path, or null.
    route const* find(std::string_view host, std::string_view path) const;
    /// Returns the declared connection cap for each leaf of the service, or the default cap.
    std::uint32_t connectionCapOf(std::string const& service) const;
    /// Returns the declared target of status requests to the service's leafs, or the default target.
    std::string statusTargetOf(std::string const& service) const;
    /// Returns the declared properties of the service, or null.
    service_rules const* rulesOf(std::string const& service) const;

    /// Returns whether requests need the key of a tenant.
    bool hasTenants() const { return m_declarations.areTenantsDeclared || !m_declarations.tenants.empty(); }
    std::vector<tenant> const& tenants() const { return m_declarations.tenants; }
    /// Returns the declared numbers that lie beyond their bounds.
    std::vector<held_number> const& heldNumbers() const { return m_declarations.heldNumbers; }
    /// Returns the tenant that holds the access key, or null.
    tenant const* findTenant(std::string_view accessKey) const;
    /// Returns the tenant with the name, or null.
    tenant const* tenantNamed(std::string_view name) const;

private:
    struct held_key {
        std::string_view key;
        tenant const* holder { nullptr };
    };

    route_declarations m_declarations;
    /// Routes of each host, ordered by descending prefix length.
    std::unordered_map<std::string_view, std::vector<route const*>> m_routesByHost;
    std::unordered_map<std::string_view, service_rules const*> m_services;
    /// Access keys by their hashes. A key is compared only with keys of the same hash, so that the time of a lookup says nothing of how
    /// much of a wrong key is right. A table by the keys themselves is searched key by key while it is small.
    std::unordered_map<std::size_t, std::vector<held_key>> m_keysByHash;
    std::unordered_map<std::string_view, tenant const*> m_tenantsByName;
};

using route_table_pointer = std::shared_ptr<route_table const>;

}

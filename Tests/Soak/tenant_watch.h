#pragma once

#include "Tests/Soak/fault_times.h"
#include <boost/json/object.hpp>
#include <map>
#include <string>

namespace zinnialedge::tests::soak {

/// Changes the tenants and keys of the configurations, chooses the keys of requests, and checks which requests reach leafs and as
/// which tenant. Thread-safe.
class tenant_watch {
public:
    /// Key headers of a request, and whether a daemon with the current configuration lets it pass.
    struct request_access {
        std::string headers;
        bool isAccepted { true };
    };

    tenant_watch(std::uint64_t seed, fault_times const&);

    /// Adds the tenants and a public route "/open/" to a configuration.
    void completeConfiguration(boost::json::object&) const;
    /// Adds or withdraws a key or a tenant and returns a description. The next configuration that is declared has the change.
    std::string change();
    /// Records that the store has acknowledged a configuration with the current tenants.
    void recordDeclared(bool isFirst);
    bool areDeclared() const;

    /// Adds a tenant that remains, with one key.
    void addLasting(boost::json::object tenant, std::string const& key);
    /// Chooses the headers of a request that is about to be sent, with the key if there is one.
    request_access chooseAccess(std::string const& attemptId, std::size_t daemon, bool isPublicRoute, kernel::random_hook const&, std::optional<std::string> const& key = {});
    void checkAnswer(std::string const& attemptId, int status);
    /// Checks a request that a leaf receives.
    void checkArrival(std::string const& request, std::string const& attemptId);

    std::vector<std::string> findings() const;
    std::string summary() const;

private:
    struct key_times {
        std::string tenant;
        /// When the store acknowledged a configuration with the key; nothing before.
        std::optional<kernel::time_point> declaredAt;
        std::optional<kernel::time_point> withdrawnAt;
        bool isHeld { true };
    };

    struct sent_request {
        std::size_t daemon { 0 };
        std::string key;
        /// Tenant that holds or held the key; empty for requests without a key that any configuration had.
        std::string tenant;
        bool isPublicRoute { false };
        /// Whether the daemon must have a configuration with tenants.
        bool isChecked { false };
        /// Whether the daemon must know that the key is withdrawn.
        bool isKeyWithdrawn { false };
    };

    void addKey(std::string const& tenant);
    void withdrawKey(std::string const& tenant, std::size_t index);
    std::string chooseHeldKey(kernel::random_hook const&) const;
    void addFinding(std::string const& attemptId, std::string const& description);

    mutable std::mutex m_mutex;
    fault_times const& m_faults;
    kernel::random_hook m_random;
    std::vector<boost::json::object> m_lasting;
    std::map<std::string, std::vector<std::string>> m_tenants;
    std::map<std::string, key_times> m_keys;
    std::vector<std::string> m_withdrawn;
    std::size_t m_nameCount { 0 };
    std::optional<kernel::time_point> m_declaredAt;
    bool m_isDeclaredFirst { false };
    std::map<std::string, sent_request> m_sent;
    std::size_t m_arrivalCount { 0 };
    std::size_t m_unacceptableCount { 0 };
    std::size_t m_withdrawnCount { 0 };
    std::size_t m_appliedCount { 0 };
    std::vector<std::string> m_findings;
};

}

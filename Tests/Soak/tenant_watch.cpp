#include "Tests/Soak/tenant_watch.h"

#include "Tests/Support/scripted_leaf.h"
#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/json/array.hpp>

namespace zinnialedge::tests::soak {

namespace json = boost::json;

static constexpr std::size_t firstTenants = 3;
static constexpr std::size_t maxTenants = 5;
static constexpr std::size_t maxKeysOfTenant = 3;
static constexpr std::string_view unknownKey = "key-that-no-configuration-has";

static std::string formatKeyHeader(std::string_view key)
{
    return "X-Api-Key: " + std::string { key } + "\r\n";
}

tenant_watch::tenant_watch(std::uint64_t seed, fault_times const& faults)
    : m_faults(faults)
    , m_random(kernel::makeSeededRandom(seed))
{
    for (std::size_t tenant = 0; tenant < firstTenants; ++tenant) {
        auto const name = "tenant" + std::to_string(m_nameCount++);
        addKey(name);
        addKey(name);
    }
}

void tenant_watch::addKey(std::string const& tenant)
{
    auto const key = "key" + std::to_string(m_nameCount++) + "-of-" + tenant;
    m_tenants[tenant].push_back(key);
    m_keys[key].tenant = tenant;
}

void tenant_watch::withdrawKey(std::string const& tenant, std::size_t index)
{
    auto& keys = m_tenants[tenant];
    m_keys[keys[index]].isHeld = false;
    m_withdrawn.push_back(keys[index]);
    keys.erase(keys.begin() + static_cast<std::ptrdiff_t>(index));
}

void tenant_watch::addLasting(json::object tenant, std::string const& key)
{
    std::scoped_lock const lock { m_mutex };
    m_keys[key].tenant = std::string { tenant.at("name").as_string() };
    tenant["api_keys"] = json::array { json::string { key } };
    m_lasting.push_back(std::move(tenant));
}

void tenant_watch::completeConfiguration(json::object& configuration) const
{
    std::scoped_lock const lock { m_mutex };
    json::array tenants(m_lasting.begin(), m_lasting.end());
    for (auto const& [name, keys] : m_tenants)
        tenants.emplace_back(json::object { { "name", name }, { "api_keys", json::array(keys.begin(), keys.end()) } });
    configuration["tenants"] = std::move(tenants);
    auto& routes = configuration["routes"].as_array();
    auto open = routes.at(0).as_object();
    open["name"] = "open";
    open["path_prefix"] = "/open/";
    open["public"] = true;
    routes.emplace_back(std::move(open));
}

std::string tenant_watch::change()
{
    std::scoped_lock const lock { m_mutex };
    auto const chosen = std::next(m_tenants.begin(), static_cast<std::ptrdiff_t>(m_random() % m_tenants.size()));
    auto const name = chosen->first;
    auto& keys = chosen->second;
    switch (m_random() % 4) {
    case 0:
        if (m_tenants.size() < maxTenants) {
            auto const added = "tenant" + std::to_string(m_nameCount++);
            addKey(added);
            return added + " added";
        }
        [[fallthrough]];
    case 1:
        if (m_tenants.size() > 2) {
            while (!keys.empty())
                withdrawKey(name, 0);
            m_tenants.erase(name);
            return name + " withdrawn";
        }
        [[fallthrough]];
    case 2:
        if (keys.size() > 1) {
            withdrawKey(name, m_random() % keys.size());
            return "a key of " + name + " withdrawn";
        }
        [[fallthrough]];
    default:
        if (keys.size() == maxKeysOfTenant)
            withdrawKey(name, 0);
        addKey(name);
        return "a key of " + name + " added";
    }
}

void tenant_watch::recordDeclared(bool isFirst)
{
    std::scoped_lock const lock { m_mutex };
    auto const now = std::chrono::steady_clock::now();
    if (!m_declaredAt)
        m_isDeclaredFirst = isFirst;
    m_declaredAt = m_declaredAt.value_or(now);
    for (auto& [key, times] : m_keys) {
        times.declaredAt = times.declaredAt.value_or(now);
        if (!times.isHeld)
            times.withdrawnAt = times.withdrawnAt.value_or(now);
    }
}

bool tenant_watch::areDeclared() const
{
    std::scoped_lock const lock { m_mutex };
    return m_declaredAt.has_value();
}

std::string tenant_watch::chooseHeldKey(kernel::random_hook const& random) const
{
    auto const& keys = std::next(m_tenants.begin(), static_cast<std::ptrdiff_t>(random() % m_tenants.size()))->second;
    return keys[random() % keys.size()];
}

tenant_watch::request_access tenant_watch::chooseAccess(std::string const& attemptId, std::size_t daemon, bool isPublicRoute, kernel::random_hook const& random, std::optional<std::string> const& key)
{
    std::scoped_lock const lock { m_mutex };
    if (!m_declaredAt)
        return {};
    request_access access;
    std::string chosenKey = key ? *key : chooseHeldKey(random);
    auto const kind = key ? 99 : random() % 16;
    if (kind == 0)
        chosenKey = unknownKey;
    if ((kind == 1 || kind == 2) && !m_withdrawn.empty())
        chosenKey = m_withdrawn[m_withdrawn.size() - 1 - random() % std::min<std::size_t>(m_withdrawn.size(), 4)];
    auto const known = m_keys.find(chosenKey);
    access.headers = formatKeyHeader(chosenKey);
    access.isAccepted = known != m_keys.end() && known->second.isHeld;
    sent_request sent { daemon, chosenKey, known == m_keys.end() ? std::string {} : known->second.tenant, isPublicRoute, m_isDeclaredFirst || m_faults.mustBeApplied(*m_declaredAt, daemon), false };
    sent.isKeyWithdrawn = known != m_keys.end() && known->second.withdrawnAt && m_faults.mustBeApplied(*known->second.withdrawnAt, daemon);
    if (kind == 3 || kind == 4) {
        // No key, or two different ones.
        access = { kind == 3 ? std::string {} : access.headers + formatKeyHeader(unknownKey), false };
        sent.key.clear();
        sent.tenant.clear();
        sent.isKeyWithdrawn = false;
    }
    if (random() % 4 == 0)
        access.headers += "Zinnialedge-Tenant: chosen-by-the-caller\r\n";
    access.isAccepted = access.isAccepted || isPublicRoute;
    m_sent[attemptId] = std::move(sent);
    return access;
}

void tenant_watch::checkAnswer(std::string const& attemptId, int status)
{
    std::scoped_lock const lock { m_mutex };
    auto const found = m_sent.find(attemptId);
    if (found == m_sent.end() || !found->second.isChecked)
        return;
    auto const& sent = found->second;
    if (sent.isPublicRoute) {
        if (status == 401)
            addFinding(attemptId, "401 on a public route");
        return;
    }
    auto const key = m_keys.find(sent.key);
    bool const mustBeKnown = key != m_keys.end() && key->second.isHeld && key->second.declaredAt && m_faults.mustBeApplied(*key->second.declaredAt, sent.daemon);
    m_appliedCount += mustBeKnown ? 1 : 0;
    if (status == 401 && mustBeKnown)
        addFinding(attemptId, "401 from daemon" + std::to_string(sent.daemon) + ", although the key " + sent.key + " has been declared");
    bool const isUnacceptable = sent.tenant.empty() || sent.isKeyWithdrawn;
    m_unacceptableCount += sent.tenant.empty() ? 1 : 0;
    m_withdrawnCount += sent.isKeyWithdrawn ? 1 : 0;
    if (isUnacceptable && status == 200)
        addFinding(attemptId, "served by daemon" + std::to_string(sent.daemon) + " without a valid key");
}

void tenant_watch::checkArrival(std::string const& request, std::string const& attemptId)
{
    std::scoped_lock const lock { m_mutex };
    if (!m_declaredAt)
        return;
    auto const found = m_sent.find(attemptId);
    // Until the daemons have the first configuration with tenants, keys are ordinary headers.
    bool const isChecked = found == m_sent.end() ? m_isDeclaredFirst : found->second.isChecked;
    if (!isChecked)
        return;
    auto const head = request.substr(0, request.find("\r\n\r\n"));
    if (boost::algorithm::icontains(head, "\r\nX-Api-Key:"))
        addFinding(attemptId, "a leaf received an access key");
    auto const name = rawHeaderValue(head, "Zinnialedge-Tenant");
    if (found == m_sent.end() || found->second.isPublicRoute) {
        if (boost::algorithm::icontains(head, "\r\nZinnialedge-Tenant:"))
            addFinding(attemptId, "a leaf received the tenant " + name + " with a probe or on a public route");
        return;
    }
    auto const& sent = found->second;
    ++m_arrivalCount;
    if (sent.tenant.empty())
        addFinding(attemptId, "a leaf received a request without a key that any configuration had");
    else if (name != sent.tenant)
        addFinding(attemptId, "a leaf received the tenant \"" + name + "\" in place of " + sent.tenant);
    if (sent.isKeyWithdrawn)
        addFinding(attemptId, "a leaf received a request through daemon" + std::to_string(sent.daemon) + " with the withdrawn key " + sent.key);
}

void tenant_watch::addFinding(std::string const& attemptId, std::string const& description)
{
    m_findings.push_back("KEY: id=" + attemptId + " " + description);
}

std::vector<std::string> tenant_watch::findings() const
{
    std::scoped_lock const lock { m_mutex };
    return m_findings;
}

std::string tenant_watch::summary() const
{
    std::scoped_lock const lock { m_mutex };
    return "keys: " + std::to_string(m_arrivalCount) + " arrivals checked, requests with keys in force " + std::to_string(m_appliedCount) + ", withdrawn " + std::to_string(m_withdrawnCount) + ", none or unknown " + std::to_string(m_unacceptableCount);
}

}

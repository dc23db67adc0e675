#include "Tests/Support/http_call.h"
#include "Tests/Support/proxied_edge_fleet.h"
#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <boost/json.hpp>

using namespace zinnialedge;
using namespace std::chrono_literals;
using tests::edge_fleet;
using tests::link_state;
using tests::persistent_connection;
using tests::proxied_edge_fleet;
using tests::rawHeaderValue;
using tests::sendOverNewConnection;
using tests::small_edge_fleet;
using tests::waitUntil;

namespace {

/// The platform's bound on the time until a configuration version is in force.
constexpr auto configurationTime = 5s;
const std::string acmeKey = "secret-key-of-acme";

/// Gives the stored configuration another version and the tenant "acme" with these keys.
void declareKeys(edge_fleet& fleet, std::uint64_t version, boost::json::value const& keys)
{
    auto configuration = fleet.store().find("config", "main")->as_object();
    configuration["version"] = version;
    configuration["tenants"] = boost::json::array { { { "name", "acme" }, { "api_keys", keys } } };
    fleet.store().put("config", "main", configuration);
}

std::string addHeaders(std::string request, std::string const& headers)
{
    return request.insert(request.find("\r\n") + 2, headers);
}

std::string formatQuery(std::string const& attemptId, std::string const& headers)
{
    return addHeaders(tests::formatGetRequest("/gather/a", attemptId), headers);
}

std::string keyHeader(std::string const& key)
{
    return "X-Api-Key: " + key + "\r\n";
}

int statusOf(edge_fleet& fleet, std::size_t daemon, std::string const& key, std::string const& attemptId = "status")
{
    return sendOverNewConnection(fleet.daemon(daemon).callers, formatQuery(attemptId, keyHeader(key))).status;
}

bool waitForStatus(edge_fleet& fleet, std::size_t daemon, std::string const& key, int status)
{
    return waitUntil([&] { return statusOf(fleet, daemon, key) == status; }, configurationTime);
}

std::string getText(model::endpoint const& endpoint, std::string const& path)
{
    auto const result = tests::callHttp(endpoint, { "GET", path, {}, {} });
    CHECK(result.has_value());
    return result ? result->body : std::string {};
}

void checkLacksKeys(std::string const& text)
{
    if (text.find("secret-key") != std::string::npos)
        FAIL(text.c_str());
}

}

TEST_GROUP(EdgeAccess) {};

// Guards against: a connection that is open when keys change goes on with the keys of its first request.
TEST(EdgeAccess, KeysChangeOnAnOpenConnection)
{
    small_edge_fleet fleet { 1 };
    persistent_connection caller { fleet.daemon(0).callers };
    auto const statusWith = [&](std::string const& headers) { return caller.ask(formatQuery("a", headers)).status; };
    LONGS_EQUAL(200, statusWith(""));
    declareKeys(fleet, 2, { acmeKey });
    CHECK(waitUntil([&] { return statusWith("") == 401; }, configurationTime));
    LONGS_EQUAL(200, statusWith(keyHeader(acmeKey)));
    LONGS_EQUAL(200, statusWith("x-API-key: \t " + acmeKey + " \t\r\n"));
    LONGS_EQUAL(200, statusWith(keyHeader(acmeKey) + keyHeader(acmeKey)));
    LONGS_EQUAL(401, statusWith(keyHeader(acmeKey) + keyHeader("another")));
    declareKeys(fleet, 3, { "secret-key-after" });
    CHECK(waitUntil([&] { return statusWith(keyHeader(acmeKey)) == 401; }, configurationTime));
    LONGS_EQUAL(200, statusWith(keyHeader("secret-key-after")));
    auto const rejection = caller.ask(formatQuery("a", ""));
    auto const body = boost::json::parse(rejection.body);
    STRCMP_EQUAL("unknown_access_key", body.at("error").as_string().c_str());
    STRCMP_EQUAL("no", body.at("ran").as_string().c_str());
    STRCMP_EQUAL("", rejection.header("Retry-After").c_str());
}

// Guards against: a daemon that the store turns away rejects the callers with new keys, or serves those with withdrawn ones.
TEST(EdgeAccess, DaemonWithoutTheStoreLearnsKeysFromAPeer)
{
    small_edge_fleet fleet { 2 };
    tests::store_stand_in otherStore;
    otherStore.setFaultMode(tests::store_stand_in::trouble::busy);
    fleet.daemon(1).process.reset();
    fleet.replaceSetting(1, "store", boost::json::value(toString(otherStore.place())));
    fleet.start(1);
    CHECK(fleet.waitUntilReady());
    declareKeys(fleet, 2, { acmeKey });
    CHECK(waitForStatus(fleet, 1, "unknown", 401));
    LONGS_EQUAL(200, statusOf(fleet, 1, acmeKey));
    declareKeys(fleet, 3, { "secret-key-after" });
    CHECK(waitForStatus(fleet, 1, acmeKey, 401));
    LONGS_EQUAL(200, statusOf(fleet, 1, "secret-key-after"));
}

// Guards against: a request that other daemons handle, as a whole or in part, reaches its leafs without the tenant's name, with the
// key, or with a name that the caller has made up.
TEST(EdgeAccess, DetouredAndRelayedRequestsReachLeafsWithTheTenantsName)
{
    // All leafs are in the first data centre, so that the last daemon relays its queries.
    proxied_edge_fleet fleet { { "here", "here", "there" } };
    declareKeys(fleet, 2, { acmeKey });
    for (std::size_t daemon : { 0, 1, 2 })
        CHECK(waitForStatus(fleet, daemon, "unknown", 401));
    std::string const headers = keyHeader(acmeKey) + "Zinnialedge-Tenant: posed\r\nX-Relay-Tenant: posed\r\n";
    int number = 0;
    auto const isServed = [&](std::size_t daemon, std::string const& path) {
        auto const request = path == "/single/a" ? tests::formatPostRequest(path, "keyed" + std::to_string(++number), "order") : tests::formatGetRequest(path, "keyed" + std::to_string(++number));
        return sendOverNewConnection(fleet.daemon(daemon).callers, addHeaders(request, headers)).status == 200;
    };
    auto const isCounted = [&](std::size_t daemon, std::string const& metric) {
        auto const metrics = getText(fleet.daemon(daemon).operators, "/metrics");
        return metrics.find("zinnialedge_" + metric + " ") != std::string::npos && metrics.find("zinnialedge_" + metric + " 0\n") == std::string::npos;
    };
    CHECK(waitUntil([&] { return isServed(2, "/gather/a") && isCounted(2, "relayed_calls_total"); }, 10s));
    fleet.setLinks(0, link_state::reset);
    CHECK(waitUntil([&] { return isServed(0, "/single/a") && isServed(0, "/gather/a") && isCounted(0, "detours_total"); }, 10s));
    std::size_t seen = 0;
    for (auto const& service : { "desk", "shard0", "shard1", "shard2", "shard3" }) {
        for (auto const& request : fleet.requestsOf(service)) {
            checkLacksKeys(request);
            if (!rawHeaderValue(request, "Zinnialedge-Attempt-Id").starts_with("keyed"))
                continue;
            STRCMP_EQUAL("acme", rawHeaderValue(request, "Zinnialedge-Tenant").c_str());
            ++seen;
        }
    }
    CHECK(seen >= 9);
}

// Guards against: a key reaches the log, the state or the metrics, of valid and of invalid requests and of configurations that can't be
// read. The log level is the most detailed one.
TEST(EdgeAccess, KeysAreNeitherLoggedNorShown)
{
    small_edge_fleet fleet { 2 };
    for (std::size_t daemon : { 0, 1 }) {
        fleet.daemon(daemon).process.reset();
        fleet.replaceSetting(daemon, "log_level", "trace");
        fleet.start(daemon);
    }
    CHECK(fleet.waitUntilReady());
    declareKeys(fleet, 2, { acmeKey });
    CHECK(waitForStatus(fleet, 0, "secret-key-unknown", 401));
    LONGS_EQUAL(200, statusOf(fleet, 0, acmeKey));
    auto const& callers = fleet.daemon(0).callers;
    std::string answers;
    for (auto const& headers : { keyHeader(acmeKey) + keyHeader("secret-key-second"), keyHeader("secret-key" + std::string(300, 'k')), keyHeader("secret-key" + std::string(20'000, 'k')), keyHeader(acmeKey) + "Content-Length: secret-key\r\n" })
        answers += sendOverNewConnection(callers, formatQuery("a", headers)).body;
    fleet.desk0.end(2s);
    fleet.desk1.end(2s);
    CHECK(waitUntil([&] { return !fleet.desk0.isListening() && !fleet.desk1.isListening(); }));
    answers += sendOverNewConnection(callers, addHeaders(tests::formatGetRequest("/single/a", "b"), keyHeader(acmeKey))).body;
    auto const countLines = [&](std::size_t daemon, std::string const& text) {
        auto const lines = fleet.daemon(daemon).process->lines();
        return std::count_if(lines.begin(), lines.end(), [&](auto const& line) { return line.find(text) != std::string::npos; });
    };
    std::ptrdiff_t unusable = 0;
    for (auto const& unreadable : std::vector<boost::json::value> { "secret-key-text", boost::json::object { { "secret-key", 1 } }, boost::json::array { boost::json::array { "secret-key" } } }) {
        declareKeys(fleet, 3, unreadable);
        ++unusable;
        CHECK(waitUntil([&] { return countLines(0, "configuration_unusable") >= unusable; }, configurationTime));
    }
    LONGS_EQUAL(200, statusOf(fleet, 0, acmeKey, "last"));
    checkLacksKeys(answers);
    auto const metrics = getText(fleet.daemon(0).operators, "/metrics");
    checkLacksKeys(metrics);
    CHECK(metrics.find("zinnialedge_tenant_requests_total{tenant=\"acme\"}") != std::string::npos);
    CHECK(metrics.find("zinnialedge_requests_rejected_for_key_total 0\n") == std::string::npos);
    for (std::size_t daemon : { 0, 1 }) {
        checkLacksKeys(getText(fleet.daemon(daemon).operators, "/state"));
        for (auto const& line : fleet.daemon(daemon).process->lines())
            checkLacksKeys(line);
    }
    CHECK(fleet.daemon(0).process->waitForLine("reason=several_keys").has_value());
    CHECK(fleet.daemon(0).process->waitForLine("tenant=acme").has_value());
}

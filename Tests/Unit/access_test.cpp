#include "Libraries/zinnialedge/forwarding/relay_protocol.h"
#include "Tests/Support/engine_harness.h"
#include "platform/edge_codec.h"
#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace zinnialedge;
using namespace std::chrono_literals;
using errors::error_kind;
using forwarding::caller_request;
using forwarding::leaf_call;
using tests::engine_harness;

namespace {

constexpr std::string_view keyOfAcme = "key-of-acme";
constexpr std::size_t longestKeyBytes = 256;

std::vector<forwarding::tenant> declaredTenants()
{
    return {
        { .name = "acme", .accessKeys = { std::string { keyOfAcme }, "other-key-of-acme", std::string(longestKeyBytes, 'k'), std::string(longestKeyBytes + 1, 'k'), "" } },
        { .name = "urgent", .accessKeys = { "key-of-urgent" }, .priority = 0 },
    };
}

/// A daemon with a single, a gather and a public route, and tenants unless the test declares none.
struct daemon_with_tenants : engine_harness {
    explicit daemon_with_tenants(std::vector<forwarding::tenant> tenants = declaredTenants())
    {
        declare(1, routes(), std::move(tenants));
        registerLeafs({ "desk", "shard0", "shard1", "shard2" }, 2);
    }

    static std::vector<forwarding::route> routes()
    {
        auto open = singleRoute(true);
        open.name = "open";
        open.pathPrefix = "/open/";
        open.isPublic = true;
        auto single = singleRoute(true);
        auto gather = gatherRoute(3, 0.6);
        single.priority = 3;
        gather.priority = 3;
        return { single, gather, open };
    }

    forwarding::request_token arriveWithKeys(std::string const& path, std::vector<std::string> const& keys)
    {
        return arriveChanged(path, [&](auto& request) {
            for (auto const& key : keys)
                request.accessKeys.push_back({ "X-Api-Key", key });
        });
    }

    forwarding::request_token arriveFromDaemon(std::string const& path, std::string const& tenant, bool isRelayed)
    {
        return arriveChanged(path, [&](auto& request) {
            request.tenant = tenant;
            request.accessKeys.push_back({ "X-Api-Key", "key that a daemon without tenants has passed on" });
            if (isRelayed)
                request.relayed = forwarding::relayed_request { engine.routes()->version(), { 0, 1 }, 50ms, 90ms };
            else
                request.detoured = forwarding::detoured_request { 1, 90ms };
        });
    }

    /// Returns the only open call, which must carry no access key.
    leaf_call onlyCall() const
    {
        auto const calls = openCalls();
        LONGS_EQUAL(1, calls.size());
        checkHasNoKey(calls.front());
        return calls.front();
    }

    static void checkHasNoKey(leaf_call const& call)
    {
        CHECK(call.request->accessKeys.empty());
        CHECK(call.request->headers.empty());
    }

    void checkRejected(forwarding::request_token token, error_kind kind) const
    {
        CHECK(answerOf(token));
        CHECK(answerOf(token)->error->kind == kind);
        LONGS_EQUAL(errors::propertiesOf(kind).httpStatus, answerOf(token)->status);
        CHECK(openCalls().empty());
    }
};

bool parseForEdge(std::string_view name, std::string_view value, caller_request& request)
{
    return platform::makeEdgeProtocol().parseRequestHeader(name, value, request);
}

forwarding::edge_protocol relayProtocol()
{
    return forwarding::makeRelayProtocol(platform::makeEdgeProtocol().parseAccessHeader);
}

}

TEST_GROUP(Access) {};

// Guards against: a configuration without tenants changes what leafs get.
TEST(Access, WithoutTenantsKeysGoOnAsOrdinaryHeaders)
{
    daemon_with_tenants daemon { {} };
    daemon.arriveWithKeys("/single/a", { "one", "two" });
    auto const calls = daemon.openCalls();
    LONGS_EQUAL(1, calls.size());
    CHECK((calls.front().request->headers == std::vector<forwarding::header> { { "X-Api-Key", "one" }, { "X-Api-Key", "two" } }));
    STRCMP_EQUAL("", calls.front().request->tenant.c_str());
}

// Guards against: a request with a valid key is rejected, or the key reaches a leaf.
TEST(Access, RequestGetsTheTenantOfItsKey)
{
    for (auto const& keys : std::vector<std::vector<std::string>> { { std::string { keyOfAcme } }, { "other-key-of-acme", "other-key-of-acme" }, { std::string(longestKeyBytes, 'k') } }) {
        daemon_with_tenants daemon;
        auto const token = daemon.arriveWithKeys("/single/a", keys);
        auto const call = daemon.onlyCall();
        STRCMP_EQUAL("acme", call.request->tenant.c_str());
        daemon.succeed(call.number);
        LONGS_EQUAL(200, daemon.answerOf(token)->status);
    }
}

// Guards against: a leaf runs a request of somebody who holds no key. The empty and the over-long key are declared, and are rejected
// all the same.
TEST(Access, RequestWithoutExactlyOneValidKeyIsRejectedAtOnce)
{
    std::vector<std::vector<std::string>> const invalid { {}, { "unknown" }, { "" }, { std::string { keyOfAcme }, "unknown" }, { std::string { keyOfAcme }, "other-key-of-acme" },
        { std::string { keyOfAcme }, "" }, { std::string(longestKeyBytes + 1, 'k') }, { "Key-of-acme" }, { "key-of-acm" }, { "key-of-acme " } };
    daemon_with_tenants daemon;
    for (auto const& path : { "/single/a", "/gather/a" }) {
        for (auto const& keys : invalid)
            daemon.checkRejected(daemon.arriveWithKeys(path, keys), error_kind::unknown_access_key);
    }
    LONGS_EQUAL(2 * invalid.size(), daemon.engine.counters().rejectionsForKey);
    LONGS_EQUAL(2 * invalid.size(), daemon.engine.counters().rejections);
    CHECK(daemon.engine.tenantCounts().summarize(1).most.empty());
}

// Guards against: public requests need a key, are charged to a tenant, or pass a key on to leafs.
TEST(Access, PublicRouteNeedsNoKeyAndDropsIt)
{
    for (auto const& keys : std::vector<std::vector<std::string>> { {}, { "unknown", "" }, { std::string { keyOfAcme } } }) {
        daemon_with_tenants daemon;
        daemon.arriveWithKeys("/open/a", keys);
        STRCMP_EQUAL("", daemon.onlyCall().request->tenant.c_str());
    }
}

// Guards against: a caller without a key learns a 401 where it gets a 404 or a 503 otherwise, and gives its key up.
TEST(Access, UnknownRoutesAndMissingConfigurationAreReportedBeforeTheKeyIsChecked)
{
    daemon_with_tenants daemon;
    daemon.checkRejected(daemon.arriveWithKeys("/elsewhere/a", {}), error_kind::unknown_route);
    engine_harness starting;
    auto const token = starting.arrive("/single/a");
    CHECK(starting.answerOf(token)->error->kind == error_kind::not_configured);
}

// Guards against: at capacity, requests without a key are told to try again.
TEST(Access, InvalidKeyIsReportedAtCapacity)
{
    auto settings = engine_harness::defaultSettings();
    settings.capacity = 0;
    engine_harness daemon { settings };
    daemon.declare(1, daemon_with_tenants::routes(), declaredTenants());
    CHECK(daemon.answerOf(daemon.arrive("/single/a"))->error->kind == error_kind::unknown_access_key);
}

// Guards against: a withdrawn key stays valid, or its withdrawal breaks a request that has arrived before.
TEST(Access, KeysChangeWithTheVersionInForceAtArrival)
{
    daemon_with_tenants daemon;
    daemon.arriveWithKeys("/single/a", { "key-of-urgent" });
    daemon.declare(2, daemon_with_tenants::routes(), { { .name = "acme", .accessKeys = { "new-key" } } });
    daemon.shed(daemon.onlyCall().number);
    STRCMP_EQUAL("urgent", daemon.onlyCall().request->tenant.c_str());
    daemon.succeed(daemon.onlyCall().number);
    daemon.checkRejected(daemon.arriveWithKeys("/single/a", { "key-of-urgent" }), error_kind::unknown_access_key);
    daemon.arriveWithKeys("/single/a", { "new-key" });
    STRCMP_EQUAL("acme", daemon.onlyCall().request->tenant.c_str());
}

// Guards against: a hedge or a call to another daemon lacks the tenant, or carries the key.
TEST(Access, HedgesAndDetoursCarryTheTenant)
{
    daemon_with_tenants daemon;
    forwarding::fleet_share share;
    share.detours.push_back({ "here", { "10.0.1.1", 7395 } });
    daemon.engine.setFleetShare(share, daemon.now());
    daemon.setProbesAnswered(false);
    daemon.arriveWithKeys("/single/a", { std::string { keyOfAcme } });
    daemon.pass(180ms);
    CHECK(daemon.openCalls("desk").size() > 1);
    daemon.arriveWithKeys("/gather/a", { std::string { keyOfAcme } });
    daemon.pass(1s);
    auto const calls = daemon.openCalls();
    CHECK(std::any_of(calls.begin(), calls.end(), [](auto const& call) { return call.detoured.has_value(); }));
    for (auto const& call : calls) {
        STRCMP_EQUAL("acme", call.request->tenant.c_str());
        daemon.checkHasNoKey(call);
    }
}

// Guards against: a daemon asks another daemon's request for a key that has stayed behind, or answers 401 for it.
TEST(Access, RequestsOfDaemonsNeedTheTenantsNameInPlaceOfAKey)
{
    for (bool const isRelayed : { false, true }) {
        daemon_with_tenants daemon;
        daemon.checkRejected(daemon.arriveFromDaemon("/gather/a", "", isRelayed), error_kind::not_configured);
        LONGS_EQUAL(0, daemon.engine.counters().rejectionsForKey);
        // A tenant that a newer configuration no longer declares was valid when the request arrived at the other daemon.
        for (std::string const tenant : { "acme", "withdrawn" }) {
            daemon.arriveFromDaemon("/gather/a", tenant, isRelayed);
            auto const calls = daemon.openCalls();
            LONGS_EQUAL(isRelayed ? 2 : 3, calls.size());
            for (auto const& call : calls) {
                daemon.checkHasNoKey(call);
                STRCMP_EQUAL(tenant.c_str(), call.request->tenant.c_str());
                daemon.succeed(call.number);
            }
        }
        CHECK(daemon.engine.tenantCounts().summarize(1).most.empty());
    }
    daemon_with_tenants daemon;
    daemon.arriveFromDaemon("/open/a", "", false);
    STRCMP_EQUAL("", daemon.onlyCall().request->tenant.c_str());
}

// Guards against: a route's priority, or a priority of more than 16 bits, comes before the tenant's.
TEST(Access, TenantsPriorityComesBeforeTheRoutes)
{
    forwarding::route matched;
    matched.priority = 3;
    forwarding::tenant tenant;
    forwarding::active_request request;
    request.matchedRoute = &matched;
    LONGS_EQUAL(0x0003'0003, request.priority());
    request.matchedTenant = &tenant;
    LONGS_EQUAL(0x0003'0003, request.priority());
    tenant.priority = 1;
    LONGS_EQUAL(0x0001'0003, request.priority());
    tenant.priority = 70'000;
    matched.priority = 70'000;
    LONGS_EQUAL(0xFFFF'FFFFU, request.priority());
}

// Guards against: requests of urgent tenants wait behind others for a free leaf, or for admission to all shards.
TEST(Access, RequestsOfUrgentTenantsLeaveTheQueuesFirst)
{
    for (std::string const path : { "/single/a", "/gather/a" }) {
        daemon_with_tenants daemon;
        // Queries wait for their admission before the leafs of a shard have no room.
        daemon.registerLeafs({ "desk", "shard0", "shard1", "shard2" }, path == "/single/a" ? 2 : 8);
        std::size_t callCount = 0;
        do {
            callCount = daemon.openCalls().size();
            daemon.arriveWithKeys(path, { std::string { keyOfAcme } });
        } while (daemon.openCalls().size() > callCount);
        daemon.arriveWithKeys(path, { "key-of-urgent" });
        LONGS_EQUAL(callCount, daemon.openCalls().size());
        auto const lastNumber = daemon.openCalls().back().number;
        auto const attemptId = daemon.openCalls().front().request->attemptId;
        for (auto const& call : daemon.openCalls()) {
            if (call.request->attemptId == attemptId)
                daemon.succeed(call.number);
        }
        daemon.pass(1ms);
        auto const calls = daemon.openCalls();
        auto const next = std::find_if(calls.begin(), calls.end(), [&](auto const& call) { return call.number > lastNumber; });
        CHECK(next != calls.end());
        STRCMP_EQUAL("urgent", next->request->tenant.c_str());
    }
}

// Guards against: the engine does not tell the admission queue of tenants and returns, or metrics count the requests of other tenants.
// Load: one tenant sends equal requests until they are refused, and does not wait as it was told.
TEST(Access, OverloadedRequestsAreCountedByTenantAndRecognizedWhenTheyReturn)
{
    daemon_with_tenants daemon;
    daemon.registerLeafs({ "shard0", "shard1", "shard2" }, 8);
    std::uint64_t arrived = 0;
    while (daemon.engine.counters().rejections == 0 && ++arrived < 1000)
        daemon.arriveWithKeys("/gather/a", { std::string { keyOfAcme } });
    LONGS_EQUAL(0, daemon.engine.counters().earlyReturns);
    daemon.arriveWithKeys("/gather/b", { std::string { keyOfAcme } });
    LONGS_EQUAL(0, daemon.engine.counters().earlyReturns);
    daemon.arriveWithKeys("/gather/a", { std::string { keyOfAcme } });
    LONGS_EQUAL(1, daemon.engine.counters().earlyReturns);
    auto const counted = daemon.engine.tenantCounts().summarize(1).most.at(0);
    STRCMP_EQUAL("acme", counted.name.c_str());
    CHECK(counted.admitted > 0);
    CHECK(counted.overloaded > 0);
    LONGS_EQUAL(1, daemon.engine.admissionCounts().all().size());
    LONGS_EQUAL(counted.admitted, daemon.engine.admissionCounts().all().begin()->second.admitted);
    LONGS_EQUAL(counted.overloaded, daemon.engine.admissionCounts().all().begin()->second.rejected);
}

// Guards against: equal requests of different tenants count as different ones when they end leafs, or digests reveal keys.
TEST(Access, DigestsDoNotDependOnTheKey)
{
    caller_request request { .method = "GET", .target = "/single/a", .host = "host" };
    auto other = request;
    other.accessKeys = { { "X-Api-Key", "secret" } };
    other.tenant = "acme";
    CHECK(forwarding::digestsOf(request) == forwarding::digestsOf(other));
}

// Guards against: the key goes on in a header whose name is written in another case, or a caller poses as a tenant.
TEST(Access, PlatformTakesKeysAndTenantsOutOfTheForwardedHeaders)
{
    caller_request request;
    CHECK_FALSE(parseForEdge("x-aPI-key", "secret", request));
    CHECK_FALSE(parseForEdge("zinnialedge-TENANT", "posed", request));
    CHECK(parseForEdge("X-Relay-Tenant", "posed", request));
    CHECK((request.accessKeys == std::vector<forwarding::header> { { "x-aPI-key", "secret" } }));
    STRCMP_EQUAL("", request.tenant.c_str());
    request.tenant = "acme";
    std::string lines;
    leaf_call call;
    call.request = std::make_shared<caller_request const>(request);
    platform::makeEdgeProtocol().writeCallHeaders(call, std::nullopt, lines);
    CHECK(lines.find("Zinnialedge-Tenant: acme\r\n") != std::string::npos);
    CHECK(lines.find("secret") == std::string::npos);
}

// Guards against: the tenant is lost between daemons, or an old build passes keys and posed tenants on through a new one.
TEST(Access, DaemonsPassTheTenantOnAndNoKey)
{
    caller_request request;
    request.tenant = "acme";
    request.accessKeys = { { "X-Api-Key", "secret" } };
    leaf_call call;
    call.request = std::make_shared<caller_request const>(request);
    call.detoured = forwarding::detoured_request {};
    std::string lines;
    relayProtocol().writeCallHeaders(call, std::nullopt, lines);
    CHECK(lines.find("X-Relay-Tenant: acme\r\n") != std::string::npos);
    CHECK(lines.find("secret") == std::string::npos);
    caller_request received;
    CHECK_FALSE(relayProtocol().parseRequestHeader("x-relay-tenant", "acme", received));
    CHECK_FALSE(relayProtocol().parseRequestHeader("X-Api-Key", "secret", received));
    CHECK_FALSE(relayProtocol().parseRequestHeader("Zinnialedge-Tenant", "posed", received));
    CHECK(relayProtocol().parseRequestHeader("Zinnialedge-Attempt-Id", "a", received));
    STRCMP_EQUAL("acme", received.tenant.c_str());
    CHECK((received.accessKeys == request.accessKeys));
}

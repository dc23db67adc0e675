// Load pattern: tenants that send more requests than their quotas allow, at several daemons.

#include "Libraries/zinnialedge/wire/membership_codec.h"
#include "Tests/Support/engine_harness.h"
#include <CppUTest/TestHarness.h>

using namespace zinnialedge;
using namespace std::chrono_literals;
using allowances::usage_report;
using tests::engine_harness;

namespace {

constexpr int statusTooManyRequests = 429;
allowances::quota_member const otherDaemon { "other.1", { "10.0.0.2", 7380 } };

/// The service "desk" and the tenant "paid", which may send ten requests per second and four more at once.
struct metered_desk : engine_harness {
    metered_desk()
    {
        declareTenant(1, 10, 4);
        registerLeafs({ "desk" }, 2);
        pass(1s);
    }

    void declareTenant(std::uint64_t version, double rate, double burst)
    {
        forwarding::route_declarations declarations { version, { singleRoute(true) }, {}, {} };
        declarations.tenants = { { .name = "paid", .accessKeys = { "key of paid" }, .requestsPerSecond = rate, .burst = burst }, { .name = "free", .accessKeys = { "key of free" } } };
        engine.setRoutes(std::make_shared<forwarding::route_table const>(declarations), now());
    }

    void meetOtherDaemon()
    {
        engine.setFleetShare({ .quotaMemberName = "self.1", .quotaMembers = { otherDaemon } }, now());
    }

    /// Takes a report of the other daemon that acknowledges all reports of this one.
    void hear(std::int64_t count, double level)
    {
        usage_report report { .member = otherDaemon.name, .endpoint = otherDaemon.endpoint, .sequence = ++m_heardReports, .age = 1h };
        report.usages = { { "paid", count, level } };
        if (!usageReports().empty())
            report.acknowledgements = { { allowances::hashMember("self.1"), usageReports().back().report.sequence, ~std::uint64_t { 0 } } };
        engine.mergeUsage(report, now());
    }

    forwarding::request_token send(std::string const& tenant, std::optional<forwarding::detoured_request> const& detoured = std::nullopt)
    {
        forwarding::caller_request request;
        request.method = "GET";
        request.target = "/single/x";
        request.host = "host";
        // Another daemon passes the tenant's name on; a caller sends a key.
        if (detoured)
            request.tenant = tenant;
        else
            request.accessKeys = { { "key", "key of " + tenant } };
        request.detoured = detoured;
        engine.handleRequest(++m_lastOwnToken, std::move(request), now());
        return m_lastOwnToken;
    }

    /// Returns the number of requests that are accepted at once.
    int acceptedAtOnce(std::string const& tenant, std::optional<forwarding::detoured_request> const& detoured = std::nullopt)
    {
        int count = 0;
        while (count < 100 && !isOverQuota(send(tenant, detoured)))
            ++count;
        return count;
    }

    bool isOverQuota(forwarding::request_token token) const { return answerOf(token) && answerOf(token)->status == statusTooManyRequests; }

private:
    forwarding::request_token m_lastOwnToken { 0 };
    std::uint64_t m_heardReports { 0 };
};

}

TEST_GROUP(RequestQuotas)
{
    metered_desk desk;
};

// Guards against requests over the quota that reach leafs, and against a retry-after at which the request is rejected again.
TEST(RequestQuotas, RequestOverTheQuotaIsRejectedUntilItsRetryAfter)
{
    LONGS_EQUAL(4, desk.acceptedAtOnce("paid"));
    auto const calls = desk.engine.counters().calls;
    auto const rejected = desk.send("paid");
    CHECK(desk.isOverQuota(rejected));
    LONGS_EQUAL(calls, desk.engine.counters().calls);
    LONGS_EQUAL(2, desk.engine.counters().rejectionsForQuotas);
    auto const* const answer = desk.answerOf(rejected);
    CHECK(answer->error->kind == errors::error_kind::over_quota);
    CHECK(answer->error->retryAfter && *answer->error->retryAfter >= 100ms && *answer->error->retryAfter <= 310ms);
    desk.pass(*answer->error->retryAfter);
    CHECK(!desk.isOverQuota(desk.send("paid")));
}

// Guards against rejected callers that all return at the same time.
TEST(RequestQuotas, RejectedRequestsReturnOneAfterTheOther)
{
    desk.acceptedAtOnce("paid");
    std::vector<std::chrono::milliseconds> returns;
    returns.reserve(5);
    for (int count = 0; count < 5; ++count)
        returns.push_back(*desk.answerOf(desk.send("paid"))->error->retryAfter);
    CHECK(returns.back() - returns.front() >= 300ms);
}

// Guards against a limit for tenants without a quota, for requests without a tenant and for those that another daemon has counted.
TEST(RequestQuotas, OnlyRequestsOfCallersWithAQuotaAreCounted)
{
    LONGS_EQUAL(4, desk.acceptedAtOnce("paid"));
    LONGS_EQUAL(100, desk.acceptedAtOnce("paid", forwarding::detoured_request {}));
    LONGS_EQUAL(100, desk.acceptedAtOnce("free"));
    LONGS_EQUAL(100, desk.acceptedAtOnce(""));
}

// Guards against requests that are counted although no leaf ran them, and against retries that are counted again.
TEST(RequestQuotas, RequestThatReachesNoLeafIsNotCounted)
{
    desk.registerLeafs({}, 0);
    for (int count = 0; count < 20; ++count)
        CHECK(!desk.isOverQuota(desk.send("paid")));
    LONGS_EQUAL(20, desk.engine.counters().quotaRefunds);
    desk.registerLeafs({ "desk" }, 2);
    auto const retried = desk.send("paid");
    desk.fail(desk.openCalls("desk").front().number, forwarding::call_failure::broken);
    desk.succeed(desk.openCalls("desk").front().number);
    CHECK(desk.answerOf(retried) && !desk.answerOf(retried)->error);
    LONGS_EQUAL(3, desk.acceptedAtOnce("paid"));
}

// Guards against requests of one daemon that the others learn of too late, or that a daemon counts without having heard of them.
TEST(RequestQuotas, RequestsOfOtherDaemonsCount)
{
    desk.meetOtherDaemon();
    desk.pass(50ms);
    desk.hear(0, 4);
    desk.pass(10ms);
    auto const sent = desk.usageReports().size();
    CHECK(sent > 0);
    CHECK(!desk.isOverQuota(desk.send("paid")));
    desk.pass(50ms);
    CHECK(desk.usageReports().size() > sent);
    auto const& last = desk.usageReports().back();
    LONGS_EQUAL(1, last.report.usages.size());
    LONGS_EQUAL(1, last.report.usages.front().count);
    CHECK(last.receivers == std::vector { otherDaemon.endpoint });
    desk.hear(3, 0);
    CHECK(desk.isOverQuota(desk.send("paid")));
}

// Guards against a daemon that accepts more than its share while the others do not learn of its requests.
TEST(RequestQuotas, RequestsWithoutAcknowledgementAreLimitedToTheShare)
{
    desk.declareTenant(2, 10, 20);
    desk.meetOtherDaemon();
    desk.pass(50ms);
    desk.hear(0, 20);
    desk.pass(1100ms);
    auto const accepted = desk.acceptedAtOnce("paid");
    CHECK(accepted >= 7 && accepted <= 10);
    desk.pass(10s);
    CHECK(!desk.engine.quotaState()->isInformed);
    LONGS_EQUAL(1, desk.engine.quotaState()->silentMemberCount);
    LONGS_EQUAL(10, desk.acceptedAtOnce("paid"));
    for (int count = 0; count < 3; ++count) {
        desk.hear(0, 20);
        desk.pass(500ms);
    }
    CHECK(desk.engine.quotaState()->isInformed);
}

// Guards against a share that stays unused after a planned stop.
TEST(RequestQuotas, DaemonThatStopsTellsOfItsLastRequest)
{
    desk.meetOtherDaemon();
    desk.pass(50ms);
    desk.hear(0, 4);
    desk.engine.setLeaving(desk.now() + 60s, desk.now());
    CHECK(!desk.isOverQuota(desk.send("paid")));
    for (int count = 0; count < 8; ++count) {
        desk.pass(500ms);
        desk.hear(0, 4);
    }
    auto last = desk.usageReports().back().report;
    CHECK(last.isEnding);
    allowances::tenant_quotas other { desk.now() };
    other.setQuotas({ { "paid", 10, 4 } }, desk.now());
    other.setMembers(otherDaemon.name, true, {}, desk.now());
    last.member = "self.1";
    last.isEnding = false;
    other.merge(last, desk.now());
    LONGS_EQUAL(2, other.memberCount());
    ++last.sequence;
    last.isEnding = true;
    other.merge(last, desk.now() + 3s);
    LONGS_EQUAL(1, other.memberCount());
    LONGS_EQUAL(0, other.silentMemberCount());
}

// Guards against messages and timers in deployments without quotas.
TEST(RequestQuotas, NothingIsSentWithoutQuotas)
{
    engine_harness plain;
    plain.declare(1, { engine_harness::singleRoute(true) });
    plain.engine.setFleetShare({ .quotaMemberName = "self.1", .quotaMembers = { otherDaemon } }, plain.now());
    plain.engine.mergeUsage({ .member = otherDaemon.name, .endpoint = otherDaemon.endpoint, .sequence = 1 }, plain.now());
    plain.pass(2s);
    CHECK(plain.usageReports().empty());
    CHECK(!plain.engine.quotaState());
}

// Guards against reports that are larger than a datagram or that arrive changed.
TEST(RequestQuotas, ReportsOfManyTenantsFitIntoDatagrams)
{
    std::vector<allowances::tenant_quota> quotas;
    quotas.reserve(200);
    for (int index = 0; index < 200; ++index)
        quotas.push_back({ "tenant-with-a-rather-long-name-" + std::to_string(index), 0.3, 2 });
    allowances::tenant_quotas sender { desk.now() };
    sender.setQuotas(quotas, desk.now());
    sender.setMembers("self.1", true, { otherDaemon }, desk.now());
    std::size_t usages = 0;
    for (auto const& each : quotas)
        CHECK(sender.tryConsume(each.tenant, desk.now() + 1s));
    for (auto const& each : sender.takeReports(desk.now() + 1s)) {
        membership::datagram content { .kind = membership::datagram_kind::usage_report };
        content.sender.record = { "daemon-of-some-name.18d3f0a1b2c3d4e5", "all", "region-name", "data-centre-a", 1, { "100.100.100.100", 18080 }, { "100.100.100.100", 17380 } };
        content.usage = each.report;
        auto const bytes = wire::encodeDatagram(content);
        CHECK(bytes.size() <= membership::maximumDatagramBytes);
        auto const decoded = wire::decodeDatagram(bytes);
        CHECK(decoded && decoded->usage);
        CHECK(decoded->usage->usages == each.report.usages);
        CHECK(decoded->usage->member == content.sender.record.name && decoded->usage->endpoint == content.sender.record.peerEndpoint);
        usages += each.report.usages.size();
    }
    LONGS_EQUAL(200, usages);
}

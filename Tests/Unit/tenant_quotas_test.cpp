// Load pattern: tenants whose requests are spread over the daemons of a fleet, some of them more than their quotas allow.

#include "Tests/Support/quota_fleet.h"
#include <CppUTest/TestHarness.h>
#include <set>

namespace zinnialedge::tests {

using namespace allowances;
using namespace std::chrono_literals;

TEST_GROUP(TenantQuotas)
{
    quota_fleet fleet;

    /// Lets one tenant send nine times its usual rate.
    static void heat(quota_fleet & of)
    {
        of.loadFactor = [](std::size_t tenant) { return tenant == hotTenant ? 9.0 : 1.0; };
    }

    /// Checks the bound, the share of the requests below the quota that were refused, and what the tenant over its quota got. Which of
    /// its requests are accepted is not determined.
    static void check(quota_fleet const& of, double tolerableRefusals, double smallestHotShare = 0.98)
    {
        int withinQuota = 0;
        int refused = 0;
        for (std::size_t tenant = 0; tenant < tenantCount; ++tenant) {
            withinQuota += tenant == hotTenant ? 0 : of.counts[tenant].withinQuota;
            refused += tenant == hotTenant ? 0 : of.counts[tenant].refusedWithinQuota;
        }
        auto const hotShare = static_cast<double>(of.counts[hotTenant].accepted) / of.counts[hotTenant].withinQuota;
        CHECK(of.greatestShareOfBound <= 1);
        CHECK_TEXT(refused <= tolerableRefusals * withinQuota, StringFromFormat("%d of %d requests below the quotas were refused", refused, withinQuota).asCharString());
        CHECK_TEXT(hotShare >= smallestHotShare, StringFromFormat("the tenant over its quota got %.3f of it", hotShare).asCharString());
    }
};

// Guards against daemons outside the group that answer each other's empty last reports, and against requests for levels that are answered again
// and again: both took most of the traffic between data centres.
TEST(TenantQuotas, ReportsWithoutNewsAreNotAnswered)
{
    kernel::time_point now { 1h };
    tenant_quotas idle { now };
    idle.setQuotas({ { "paid", 1, 1 } }, now);
    idle.setMembers("idle.1", false, { { "other.1", { "10.0.0.2", 7380 } } }, now);
    now += 20s;
    idle.merge({ .member = "outside.1", .endpoint = { "10.0.0.3", 7380 }, .sequence = 1, .age = 20s, .isEnding = true }, now);
    LONGS_EQUAL(0, idle.takeReports(now + 1s).size());
    std::size_t answers = 0;
    for (std::uint64_t sequence = 2; sequence < 100; ++sequence, now += 10ms) {
        idle.merge({ .member = "outside.1", .endpoint = { "10.0.0.3", 7380 }, .sequence = sequence, .age = 20s, .areLevelsWanted = true }, now);
        answers += idle.takeReports(now).size();
    }
    CHECK(answers <= 4);
}

// Guards against refusals of small tenants whose requests spread over all daemons.
TEST(TenantQuotas, EvenLoadBelowTheQuotasIsAccepted)
{
    fleet.run(10s);
    fleet.resetCounts();
    fleet.run(60s);
    check(fleet, 0.001);
}

// Guards against a tenant that exceeds its quota because each daemon accepts it.
TEST(TenantQuotas, TenantOverItsQuotaGetsItsQuota)
{
    fleet.run(10s);
    heat(fleet);
    fleet.resetCounts();
    fleet.run(60s);
    check(fleet, 0.002);
}

// Guards against a burst that many daemons accept before they hear of each other.
TEST(TenantQuotas, SimultaneousBurstAtAllDaemonsStaysWithinTheBound)
{
    fleet.run(10s);
    for (int round = 0; round < 40; ++round) {
        for (std::size_t to = 0; to < groupSize; ++to) {
            for (int count = 0; count < 30; ++count)
                fleet.sendRequest(hotTenant, to);
        }
        fleet.run(100ms);
    }
    CHECK(fleet.greatestShareOfBound <= 1);
}

// Guards against refusals at daemons that callers reach for a short time, outside the serving group too.
TEST(TenantQuotas, RequestsOfCallersThatMoveAreAccepted)
{
    quota_fleet large { 26 };
    // For 3 s after each change of the list of addresses, some requests go to daemons of the former list.
    large.chooseDaemon = [&](std::size_t tenant) {
        auto const time = large.now().time_since_epoch();
        auto const period = static_cast<std::size_t>(time / 15s);
        if (time % 15s < 3s && large.random() % 3 == 0)
            return groupSize + (tenant + period) % 4 + period % 3 * 4;
        return (tenant * 7 + period * 5 + large.random() % 2) % groupSize;
    };
    large.run(10s);
    large.resetCounts();
    large.run(60s);
    check(large, 0.01);
}

// Guards against halves of a fleet that each accept the complete quota.
TEST(TenantQuotas, HalvesThatAreCutOffShareTheQuota)
{
    fleet.run(10s);
    heat(fleet);
    for (int round = 0; round < 3; ++round) {
        fleet.isCut = [](std::size_t from, std::size_t to) { return from / 3 != to / 3; };
        fleet.run(12s);
        fleet.isCut = [](std::size_t, std::size_t) { return false; };
        fleet.run(6s);
    }
    // Each half keeps shares unused for the other one.
    check(fleet, 0.08, 0.8);
    fleet.resetCounts();
    fleet.run(30s);
    check(fleet, 0.005);
}

// Guards against daemons that each accept the complete quota while none hears of another.
TEST(TenantQuotas, DaemonsThatAreAllCutOffShareTheQuota)
{
    fleet.run(10s);
    fleet.isCut = [](std::size_t, std::size_t) { return true; };
    heat(fleet);
    fleet.run(15s);
    fleet.isCut = [](std::size_t, std::size_t) { return false; };
    fleet.run(6s);
    fleet.resetCounts();
    fleet.run(20s);
    check(fleet, 0.01);
}

// Guards against a daemon that is cut off and accepts the complete quota on its own.
TEST(TenantQuotas, DaemonThatIsCutOffKeepsToItsShare)
{
    fleet.run(10s);
    heat(fleet);
    fleet.isCut = [](std::size_t from, std::size_t to) { return from == 0 || to == 0; };
    fleet.chooseDaemon = [&](std::size_t) { return fleet.random() % 2 == 0 ? 0 : fleet.random() % groupSize; };
    fleet.run(18s);
    CHECK(!fleet.at(0).quotas->isInformed(fleet.now()));
    LONGS_EQUAL(1, fleet.at(1).quotas->silentMemberCount());
    fleet.isCut = [](std::size_t, std::size_t) { return false; };
    fleet.run(2s);
    CHECK(fleet.at(0).quotas->isInformed(fleet.now()));
    CHECK(fleet.at(1).quotas->isInformed(fleet.now()));
    fleet.run(10s);
    CHECK(fleet.greatestShareOfBound <= 1);
}

// Guards against a daemon that resumes with a full bucket while the others have used the quota, with a clock that went on or stood still.
TEST(TenantQuotas, DaemonThatResumesStaysWithinTheBound)
{
    fleet.run(10s);
    heat(fleet);
    for (int round = 0; round < 6; ++round) {
        auto& paused = fleet.at(2);
        (round % 2 == 0 ? paused.isStopped : paused.isSuspended) = true;
        fleet.run(7s);
        paused.isStopped = paused.isSuspended = false;
        for (int count = 0; count < 50; ++count)
            fleet.sendRequest(hotTenant, 2);
        fleet.run(4s);
    }
    fleet.resetCounts();
    fleet.run(20s);
    check(fleet, 0.005);
}

// Guards against combinations of cuts, pauses, restarts and bursts that no other test has.
TEST(TenantQuotas, RandomFaultsStayWithinTheBound)
{
    fleet.run(10s);
    heat(fleet);
    std::set<std::pair<std::size_t, std::size_t>> cuts;
    fleet.isCut = [&](std::size_t from, std::size_t to) { return cuts.contains(std::minmax(from, to)); };
    for (int round = 0; round < 100; ++round) {
        for (std::size_t left = 0; left < groupSize; ++left) {
            auto& each = fleet.at(left);
            each.isStopped = fleet.random() % 20 == 0;
            each.isSuspended = fleet.random() % 20 == 0;
            for (auto right = left + 1; right < groupSize; ++right) {
                if (fleet.random() % 3 == 0)
                    cuts.erase({ left, right });
                if (fleet.random() % 12 == 0)
                    cuts.insert({ left, right });
            }
        }
        if (fleet.random() % 10 == 0)
            fleet.restart(fleet.random() % groupSize, 1);
        for (auto count = fleet.random() % 30; count > 0; --count)
            fleet.sendRequest(hotTenant, round % groupSize);
        fleet.run(std::chrono::milliseconds { 200 + fleet.random() % 2500 });
    }
    CHECK(fleet.greatestShareOfBound <= 1);
}

// Guards against full buckets after a start, when earlier processes have used the quota.
TEST(TenantQuotas, RestartOfAllDaemonsStaysWithinTheBound)
{
    fleet.run(10s);
    heat(fleet);
    fleet.run(7s);
    for (int round = 0; round < 6; ++round) {
        fleet.restart(0, groupSize);
        fleet.run(2s);
    }
    fleet.run(7s);
    // One daemon that restarts gets the levels from the others.
    fleet.restart(3, 1);
    for (int count = 0; count < 50; ++count)
        fleet.sendRequest(hotTenant, 3);
    fleet.run(7s);
    fleet.resetCounts();
    fleet.run(20s);
    check(fleet, 0.005);
}

// Guards against refusals of requests below the quotas while the daemons do not know what earlier processes have accepted.
// Load: 74 tenants at their usual rates, or one of them at nine times its rate, with all daemons restarted every 10 s.
TEST(TenantQuotas, RestartOfAllDaemonsRefusesFewRequestsBelowTheQuotas)
{
    for (bool const isHot : { false, true }) {
        if (isHot)
            heat(fleet);
        fleet.run(10s);
        fleet.resetCounts();
        for (int round = 0; round < 10; ++round) {
            fleet.restart(0, groupSize);
            fleet.run(10s);
        }
        check(fleet, 0.004, 0.9);
    }
}

// Guards against a lower limit that takes effect only when the saved up tokens are used.
TEST(TenantQuotas, HalvedLimitTakesEffectWithinAWindow)
{
    fleet.run(10s);
    heat(fleet);
    fleet.run(6s);
    fleet.setQuotas(hotTenant, 3, 4);
    fleet.run(20s);
    CHECK(fleet.greatestShareOfBound <= 1);
    fleet.setQuotas(hotTenant, 30, 40);
    fleet.run(6s);
    fleet.resetCounts();
    fleet.run(20s);
    check(fleet, 0.002);
}

// Guards against a single daemon that leaves its quota unused, and against a limit for tenants without one.
TEST(TenantQuotas, SingleDaemonUsesTheCompleteQuota)
{
    tenant_quotas alone { fleet.now() };
    alone.setQuotas({ { "paid", 10, 8 }, { "free", 0, 0 } }, fleet.now());
    alone.setMembers("alone", true, {}, fleet.now());
    auto const later = fleet.now() + 10s;
    auto const consume = [&](std::string const& tenant, time_point at) {
        int count = 0;
        while (count < 100 && alone.tryConsume(tenant, at))
            ++count;
        return count;
    };
    LONGS_EQUAL(5, consume("paid", fleet.now()));
    LONGS_EQUAL(8, consume("paid", later));
    LONGS_EQUAL(100, consume("free", later));
    CHECK(alone.retryAfter("paid", later) > 99ms && alone.retryAfter("paid", later) <= 100ms);
    alone.refund("paid", later);
    LONGS_EQUAL(1, consume("paid", later));
    CHECK(!alone.nextReportTime());
}

// Guards against: the time until the next request of a very low rate is out of range, and seems to have passed already.
TEST(TenantQuotas, TheNextRequestOfAVeryLowRateIsFarAway)
{
    tenant_quotas alone { fleet.now() };
    alone.setQuotas({ { "rare", 1e-12, 1 } }, fleet.now());
    alone.setMembers("alone", true, {}, fleet.now());
    auto const later = fleet.now() + 10s;
    CHECK(alone.tryConsume("rare", later));
    CHECK_FALSE(alone.tryConsume("rare", later));
    for (auto const wait : { alone.retryAfter("rare", later), alone.requestInterval("rare") })
        CHECK(wait > 1h && later + wait + wait > later);
}

}

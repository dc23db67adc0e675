#include "Libraries/zinnialedge/allowances/tenant_quotas.h"
#include <CppUTest/TestHarness.h>
#include <array>
#include <cmath>
#include <memory>
#include <queue>
#include <set>
#include <utility>

namespace zinnialedge::tests {

using namespace allowances;
using namespace std::chrono_literals;
using kernel::time_point;

namespace {

    constexpr std::size_t groupSize = 6;
    constexpr std::size_t tenantCount = 74;
    /// One of the large tenants.
    constexpr std::size_t hotTenant = 70;
    constexpr quota_tolerance tolerance { 5s, 0.1, 20 };

    /// Daemons that exchange reports with delay and loss, under the load of callers who ignore refusals. Time passes in steps of 1 ms.
    class quota_fleet {
    public:
        struct request_counts {
            int accepted { 0 };
            /// Number of requests that a single bucket for all daemons would accept.
            int withinQuota { 0 };
            int refusedWithinQuota { 0 };
        };

        struct daemon {
            std::unique_ptr<tenant_quotas> quotas;
            std::string name;
            /// Difference between the clock of the fleet and the one of the daemon, which stands still while the daemon is suspended.
            kernel::duration clockLag {};
            bool isStopped { false };
            bool isSuspended { false };
            std::vector<usage_report> waitingReports;
        };

        explicit quota_fleet(std::size_t daemonCount = groupSize)
            : m_daemons(daemonCount)
        {
            // One tenant in seven is large; together they send about 50 requests per second.
            for (std::size_t index = 0; index < tenantCount; ++index)
                m_usualRates.push_back(index % 7 == 0 ? 2.0 + 0.2 * static_cast<double>(index / 7) : 0.3);
            for (auto const rate : m_usualRates)
                m_quotas.push_back({ "tenant" + std::to_string(m_quotas.size()), 1.5 * rate, std::ceil(3 * rate) + 2 });
            chooseDaemon = [this](std::size_t) { return static_cast<std::size_t>(m_random() % groupSize); };
            restart(0, daemonCount);
        }

        /// Starts new incarnations of daemons, which know nothing.
        void restart(std::size_t first, std::size_t count)
        {
            for (auto index = first; index < first + count; ++index) {
                auto& each = m_daemons[index];
                each = { std::make_unique<tenant_quotas>(m_now), "daemon" + std::to_string(index) + "." + std::to_string(++m_incarnations) };
                each.quotas->setTolerance(tolerance);
                each.quotas->setQuotas(m_quotas, m_now);
            }
            for (std::size_t index = 0; index < m_daemons.size(); ++index) {
                std::vector<quota_member> members;
                for (std::size_t other = 0; other < groupSize; ++other) {
                    if (other != index)
                        members.push_back({ m_daemons[other].name, endpointOf(other) });
                }
                m_daemons[index].quotas->setMembers(m_daemons[index].name, index < groupSize, members, clockOf(m_daemons[index]));
            }
        }

        void setQuotas(std::size_t tenant, double rate, double burst)
        {
            m_quotas[tenant].requestsPerSecond = rate;
            m_quotas[tenant].burst = burst;
            for (auto& each : m_daemons)
                each.quotas->setQuotas(m_quotas, clockOf(each));
            m_lastChangeAt = m_now;
        }

        void run(std::chrono::milliseconds duration)
        {
            for (auto const end = m_now + duration; m_now < end; m_now += 1ms) {
                deliverReports();
                for (std::size_t tenant = 0; tenant < tenantCount; ++tenant) {
                    if (drawUniform() < m_usualRates[tenant] * loadFactor(tenant) / 1000)
                        sendRequest(tenant, chooseDaemon(tenant));
                }
                sendReports();
                for (auto& each : m_daemons)
                    each.clockLag += each.isSuspended ? 1ms : 0ms;
            }
        }

        void sendRequest(std::size_t tenant, std::size_t to)
        {
            auto& daemon = m_daemons[to];
            if (daemon.isStopped || daemon.isSuspended)
                return;
            auto const& quota = m_quotas[tenant];
            auto& [level, filledAt] = m_references[tenant];
            level = filledAt == time_point {} ? quota.burst : std::min(quota.burst, level + quota.requestsPerSecond * std::chrono::duration<double> { m_now - filledAt }.count());
            filledAt = m_now;
            bool const isWithinQuota = level >= 1;
            level -= isWithinQuota ? 1 : 0;
            bool const isAccepted = daemon.quotas->tryConsume(quota.tenant, clockOf(daemon));
            auto& counted = counts[tenant];
            counted.accepted += isAccepted ? 1 : 0;
            counted.withinQuota += isWithinQuota ? 1 : 0;
            counted.refusedWithinQuota += isWithinQuota && !isAccepted ? 1 : 0;
            if (isAccepted)
                checkBound(tenant);
        }

        daemon& at(std::size_t index) { return m_daemons[index]; }
        time_point now() const { return m_now; }
        time_point clockOf(daemon const& of) const { return m_now - of.clockLag; }
        void resetCounts() { counts = {}; }
        std::uint64_t random() { return m_random(); }

        /// Chooses the daemon that gets a request of the tenant.
        std::function<std::size_t(std::size_t tenant)> chooseDaemon;
        std::function<double(std::size_t)> loadFactor = [](std::size_t) { return 1.0; };
        std::function<bool(std::size_t, std::size_t)> isCut = [](std::size_t, std::size_t) { return false; };
        double loss { 0.01 };
        std::array<request_counts, tenantCount> counts {};
        std::uint64_t datagrams { 0 };
        /// Greatest number of requests of a window, as a share of what the bound allows.
        double greatestShareOfBound { 0 };

    private:
        struct delivery {
            time_point at;
            std::size_t to { 0 };
            std::shared_ptr<usage_report const> report;

            bool operator>(delivery const& other) const { return at > other.at; }
        };

        static model::endpoint endpointOf(std::size_t index) { return { "10.0.0.1", static_cast<std::uint16_t>(1 + index) }; }
        double drawUniform() { return static_cast<double>(m_random() % (1U << 30U)) / static_cast<double>(1U << 30U); }

        void sendReports()
        {
            for (std::size_t from = 0; from < m_daemons.size(); ++from) {
                auto& sender = m_daemons[from];
                auto const dueAt = sender.quotas->nextReportTime();
                if (sender.isStopped || sender.isSuspended || !dueAt || *dueAt > clockOf(sender))
                    continue;
                for (auto& [report, receivers] : sender.quotas->takeReports(clockOf(sender))) {
                    report.member = sender.name;
                    report.endpoint = endpointOf(from);
                    auto const shared = std::make_shared<usage_report const>(report);
                    for (auto const& receiver : receivers) {
                        ++datagrams;
                        std::size_t const to = receiver.port - 1;
                        if (!isCut(from, to) && drawUniform() >= loss)
                            m_deliveries.push({ m_now + std::chrono::milliseconds { 1 + m_random() % 20 }, to, shared });
                    }
                }
            }
        }

        void deliverReports()
        {
            for (auto& each : m_daemons) {
                if (each.isStopped || each.isSuspended)
                    continue;
                for (auto const& report : std::exchange(each.waitingReports, {}))
                    each.quotas->merge(report, clockOf(each));
            }
            while (!m_deliveries.empty() && m_deliveries.top().at <= m_now) {
                auto const next = m_deliveries.top();
                m_deliveries.pop();
                auto& receiver = m_daemons[next.to];
                if (receiver.isStopped || receiver.isSuspended)
                    receiver.waitingReports.push_back(*next.report);
                else
                    receiver.quotas->merge(*next.report, clockOf(receiver));
            }
        }

        void checkBound(std::size_t tenant)
        {
            auto& times = m_acceptedTimes[tenant];
            times.push_back(m_now);
            while (m_now - times.front() >= tolerance.window)
                times.pop_front();
            // A changed quota binds within one window after the change.
            if (m_now < m_lastChangeAt + tolerance.window)
                return;
            auto const& quota = m_quotas[tenant];
            auto const bound = (quota.requestsPerSecond * 5 + quota.burst) * (1 + tolerance.overage) + tolerance.slack;
            greatestShareOfBound = std::max(greatestShareOfBound, static_cast<double>(times.size()) / bound);
        }

        kernel::random_hook m_random = kernel::makeSeededRandom(17);
        time_point m_now { 1h };
        time_point m_lastChangeAt;
        std::vector<daemon> m_daemons;
        std::vector<double> m_usualRates;
        std::vector<tenant_quota> m_quotas;
        std::map<std::size_t, std::pair<double, time_point>> m_references;
        std::map<std::size_t, std::deque<time_point>> m_acceptedTimes;
        std::priority_queue<delivery, std::vector<delivery>, std::greater<>> m_deliveries;
        std::uint64_t m_incarnations { 0 };
    };

}

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

}

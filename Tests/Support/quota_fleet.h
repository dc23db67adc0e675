#pragma once

#include "Libraries/zinnialedge/allowances/tenant_quotas.h"
#include <array>
#include <cmath>
#include <functional>
#include <memory>
#include <queue>
#include <utility>

namespace zinnialedge::tests {

using kernel::time_point;

inline constexpr std::size_t groupSize = 6;
inline constexpr std::size_t tenantCount = 74;
/// One of the large tenants.
inline constexpr std::size_t hotTenant = 70;
inline constexpr allowances::quota_tolerance quotaTolerance { std::chrono::seconds { 5 }, 0.1, 20 };

/// Daemons that exchange reports with delay and loss, under the load of callers who ignore refusals. Time passes in steps of 1 ms.
class quota_fleet {
public:
    struct request_counts {
        int accepted { 0 };
        /// Number of requests that a single bucket for all daemons would accept.
        int withinQuota { 0 };
        int refusedWithinQuota { 0 };
    };

    static constexpr std::chrono::milliseconds step { 1 };

    struct daemon {
        std::unique_ptr<allowances::tenant_quotas> quotas;
        std::string name;
        /// Difference between the clock of the fleet and the one of the daemon, which stands still while the daemon is suspended.
        kernel::duration clockLag {};
        bool isStopped { false };
        bool isSuspended { false };
        std::vector<allowances::usage_report> waitingReports;
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
            each = { std::make_unique<allowances::tenant_quotas>(m_now), "daemon" + std::to_string(index) + "." + std::to_string(++m_incarnations) };
            each.quotas->setTolerance(quotaTolerance);
            each.quotas->setQuotas(m_quotas, m_now);
        }
        for (std::size_t index = 0; index < m_daemons.size(); ++index) {
            std::vector<allowances::quota_member> members;
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
        for (auto const end = m_now + duration; m_now < end; m_now += step) {
            deliverReports();
            for (std::size_t tenant = 0; tenant < tenantCount; ++tenant) {
                if (drawUniform() < m_usualRates[tenant] * loadFactor(tenant) / 1000)
                    sendRequest(tenant, chooseDaemon(tenant));
            }
            sendReports();
            for (auto& each : m_daemons)
                each.clockLag += each.isSuspended ? step : kernel::duration::zero();
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
        std::shared_ptr<allowances::usage_report const> report;

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
                auto const shared = std::make_shared<allowances::usage_report const>(report);
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
        while (m_now - times.front() >= quotaTolerance.window)
            times.pop_front();
        // A changed quota binds within one window after the change.
        if (m_now < m_lastChangeAt + quotaTolerance.window)
            return;
        auto const& quota = m_quotas[tenant];
        auto const bound = (quota.requestsPerSecond * 5 + quota.burst) * (1 + quotaTolerance.overage) + quotaTolerance.slack;
        greatestShareOfBound = std::max(greatestShareOfBound, static_cast<double>(times.size()) / bound);
    }

    kernel::random_hook m_random = kernel::makeSeededRandom(17);
    time_point m_now { std::chrono::hours { 1 } };
    time_point m_lastChangeAt;
    std::vector<daemon> m_daemons;
    std::vector<double> m_usualRates;
    std::vector<allowances::tenant_quota> m_quotas;
    std::map<std::size_t, std::pair<double, time_point>> m_references;
    std::map<std::size_t, std::deque<time_point>> m_acceptedTimes;
    std::priority_queue<delivery, std::vector<delivery>, std::greater<>> m_deliveries;
    std::uint64_t m_incarnations { 0 };
};

}

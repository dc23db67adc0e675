#include "Tests/Soak/quota_watch.h"

#include <algorithm>

namespace zinnialedge::tests::soak {

using namespace std::chrono_literals;

static constexpr auto window = 5s;
static constexpr double overage = 0.1;
static constexpr double slack = 20;
static constexpr double allowed = (quota_watch::requestsPerSecond * std::chrono::duration<double> { window }.count() + quota_watch::burst) * (1 + overage) + slack;

void quota_watch::recordExecution(std::string const& tenantName, std::string const& attemptId)
{
    if (tenantName != tenant)
        return;
    std::scoped_lock const lock { m_mutex };
    if (m_attempts.insert(attemptId).second)
        m_executions.push_back(std::chrono::steady_clock::now());
}

void quota_watch::recordAnswer(int status)
{
    std::scoped_lock const lock { m_mutex };
    ++m_requestCount;
    m_rejectedCount += status == 429 ? 1 : 0;
}

std::size_t quota_watch::countMost() const
{
    std::size_t first = 0;
    std::size_t most = 0;
    for (std::size_t last = 0; last < m_executions.size(); ++last) {
        while (m_executions[last] - m_executions[first] > window)
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

std::vector<std::string> quota_watch::findings() const
{
    std::scoped_lock const lock { m_mutex };
    auto const most = countMost();
    if (static_cast<double>(most) <= allowed)
        return {};
    return { "QUOTA: " + std::to_string(most) + " requests in 5 s, " + std::to_string(allowed) + " allowed" };
}

std::string quota_watch::summary() const
{
    std::scoped_lock const lock { m_mutex };
    return "quota: " + std::to_string(m_executions.size()) + " of " + std::to_string(m_requestCount) + " requests run, " + std::to_string(m_rejectedCount) + " answered 429, at most " + std::to_string(countMost()) + " in 5 s (" + std::to_string(static_cast<int>(allowed)) + " allowed)";
}

}

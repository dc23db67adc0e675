#include "Tests/Soak/limit_watch.h"

#include <chrono>

namespace zinnialedge::tests::soak {

using namespace std::chrono_literals;

/// Time after the first reply with a limit from which on the limit is checked.
static constexpr auto settlingTime = 4s;
static constexpr auto countedWindow = 4s;
static constexpr double toleratedFactor = 1.5;
static constexpr double toleratedExcess = 5;

void limit_watch::setLimit(double requestsPerSecond)
{
    std::scoped_lock const lock { m_mutex };
    auto const now = std::chrono::steady_clock::now();
    if (m_isLimited)
        m_spans.back().end = now;
    m_isLimited = requestsPerSecond > 0;
    if (m_isLimited)
        m_spans.push_back({ requestsPerSecond, now, kernel::time_point::max(), {} });
}

double limit_watch::recordArrival()
{
    std::scoped_lock const lock { m_mutex };
    if (!m_isLimited)
        return 0;
    m_spans.back().arrivals.push_back(std::chrono::steady_clock::now());
    return m_spans.back().requestsPerSecond;
}

std::vector<std::string> limit_watch::findings() const
{
    std::scoped_lock const lock { m_mutex };
    std::vector<std::string> found;
    for (auto const& span : m_spans) {
        std::size_t first = 0;
        std::size_t most = 0;
        for (std::size_t last = 0; last < span.arrivals.size(); ++last) {
            while (span.arrivals[last] - span.arrivals[first] > countedWindow || (first < last && span.arrivals[first] < span.begin + settlingTime))
                ++first;
            if (span.arrivals[first] >= span.begin + settlingTime)
                most = std::max(most, last - first + 1);
        }
        auto const allowed = toleratedFactor * span.requestsPerSecond * std::chrono::duration<double> { countedWindow }.count() + toleratedExcess;
        if (static_cast<double>(most) > allowed)
            found.push_back("LIMIT: " + std::to_string(most) + " requests in 4 s at a limit of " + std::to_string(span.requestsPerSecond) + " a second");
    }
    return found;
}

}

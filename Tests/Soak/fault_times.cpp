#include "Tests/Soak/fault_times.h"

#include <algorithm>

namespace zinnialedge::tests::soak {

using namespace std::chrono_literals;

/// The platform's bound for configurations (`config_apply_ms`) and evacuations (`evacuate_ms`).
static constexpr auto applicationTime = 5s;

fault_times::fault_times(std::size_t daemons)
    : m_storeSpans { { kernel::time_point::min(), kernel::time_point::max() } }
    , m_steadySince(daemons, kernel::time_point::min())
{
}

void fault_times::recordStore(bool isHealthy)
{
    std::scoped_lock const lock { m_mutex };
    auto const now = std::chrono::steady_clock::now();
    bool const wasHealthy = m_storeSpans.back().end == kernel::time_point::max();
    if (wasHealthy && !isHealthy)
        m_storeSpans.back().end = now;
    if (!wasHealthy && isHealthy)
        m_storeSpans.push_back({ now, kernel::time_point::max() });
}

void fault_times::beginDaemonFault(std::size_t daemon)
{
    std::scoped_lock const lock { m_mutex };
    m_steadySince[daemon] = kernel::time_point::max();
}

void fault_times::endDaemonFault(std::size_t daemon)
{
    std::scoped_lock const lock { m_mutex };
    m_steadySince[daemon] = std::chrono::steady_clock::now();
}

bool fault_times::mustBeApplied(kernel::time_point acknowledgedAt, std::size_t daemon) const
{
    std::scoped_lock const lock { m_mutex };
    auto const now = std::chrono::steady_clock::now();
    auto const since = std::max(acknowledgedAt, m_steadySince[daemon]);
    return std::any_of(m_storeSpans.begin(), m_storeSpans.end(), [&](auto const& span) {
        auto const begin = std::max(span.begin, since);
        auto const end = std::min(span.end, now);
        return begin < end && end - begin >= applicationTime;
    });
}

}

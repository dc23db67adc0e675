#include "Libraries/zinnialedge/fleet/store_budget.h"

#include <algorithm>

namespace zinnialedge::fleet {

/// Part of the store's rates that daemons use; the rest covers daemons that are not known yet.
static constexpr double usedShare = 0.7;
/// A daemon that starts lists all kinds in pages at once; about two thousand objects.
static constexpr double leastReadBurst = 40;
/// A registration is written and, at times, settled by a second call.
static constexpr double leastWriteBurst = 4;

store_budget::store_budget(store_rates rates)
    : m_rates(rates)
    , m_reads(usedShare * rates.readsPerSecond, leastReadBurst)
    , m_writes(usedShare * rates.writesPerSecond, leastWriteBurst)
{
}

void store_budget::setRates(store_rates rates, kernel::time_point now)
{
    m_rates = rates;
    divide(now);
}

void store_budget::setDaemonCount(std::size_t count, kernel::time_point now)
{
    m_daemonCount = std::max<std::size_t>(count, 1);
    divide(now);
}

void store_budget::divide(kernel::time_point now)
{
    auto const share = usedShare / static_cast<double>(m_daemonCount);
    m_reads.setRate(now, share * m_rates.readsPerSecond);
    m_writes.setRate(now, share * m_rates.writesPerSecond);
}

}

#include "Libraries/zinnialedge/fleet/store_budget.h"

#include <algorithm>

namespace zinnialedge::fleet {

/// Fraction of the store's rates that the known daemons use. The rest covers daemons that are not known yet.
static constexpr double usedFraction = 0.7;
/// Burst that lets a starting daemon list all object kinds, about 2000 objects, in pages without a delay.
static constexpr double readBurst = 40;
/// Burst that covers the write of a registration and the second call that resolves an unknown outcome.
static constexpr double writeBurst = 4;

store_budget::store_budget(store_rates rates)
    : m_rates(rates)
    , m_reads(usedFraction * rates.readsPerSecond, readBurst)
    , m_writes(usedFraction * rates.writesPerSecond, writeBurst)
{
}

void store_budget::setRates(store_rates rates, kernel::time_point now)
{
    m_rates = rates;
    updateDaemonRates(now);
}

void store_budget::setDaemonCount(std::size_t count, kernel::time_point now)
{
    m_daemonCount = std::max<std::size_t>(count, 1);
    updateDaemonRates(now);
}

void store_budget::updateDaemonRates(kernel::time_point now)
{
    auto const daemonFraction = usedFraction / static_cast<double>(m_daemonCount);
    m_reads.setRate(now, daemonFraction * m_rates.readsPerSecond);
    m_writes.setRate(now, daemonFraction * m_rates.writesPerSecond);
}

}

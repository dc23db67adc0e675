#pragma once

#include "Kernel/clock.h"
#include "Libraries/zinnialedge/configuration/call_budget.h"

namespace zinnialedge::fleet {

/// Rates of calls that the platform's store accepts from all daemons together.
struct store_rates {
    double readsPerSecond { 2000 };
    double writesPerSecond { 400 };

    auto operator<=>(store_rates const&) const = default;
};

/// One daemon's fraction of the store's rates. Every call of the daemon to the store consumes this budget.
class store_budget {
public:
    explicit store_budget(store_rates);

    void setRates(store_rates, kernel::time_point now);
    /// Sets the number of daemons that share the rates.
    void setDaemonCount(std::size_t, kernel::time_point now);

    configuration::call_budget& reads() { return m_reads; }
    configuration::call_budget& writes() { return m_writes; }
    configuration::call_budget const& reads() const { return m_reads; }
    configuration::call_budget const& writes() const { return m_writes; }

private:
    /// Sets this daemon's rates to an equal fraction of the store's rates.
    void updateDaemonRates(kernel::time_point now);

    store_rates m_rates;
    std::size_t m_daemonCount { 1 };
    configuration::call_budget m_reads;
    configuration::call_budget m_writes;
};

}

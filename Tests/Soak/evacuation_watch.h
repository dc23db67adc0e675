#pragma once

#include "Tests/Soak/fault_times.h"
#include <map>
#include <string>
#include <vector>

namespace zinnialedge::tests::soak {

/// The evacuations in the store, and a check of the requests that reach leafs of evacuated data centres. Thread-safe.
class evacuation_watch {
public:
    evacuation_watch(std::size_t daemons, fault_times const&);

    /// Records that the store has acknowledged the evacuation.
    void begin(std::string const& dataCentre);
    /// Records that the evacuation is about to be removed from the store.
    void end(std::string const& dataCentre);
    bool isEvacuated(std::string const& dataCentre) const;
    /// Checks a request that a leaf does not answer with 421. Without a daemon, all daemons must have applied the evacuation.
    void checkArrival(std::string const& dataCentre, std::optional<std::size_t> daemon, std::string const& leaf, std::string const& requestLine);

    std::vector<std::string> findings() const;
    std::string summary() const;

private:
    mutable std::mutex m_mutex;
    std::size_t m_daemonCount;
    fault_times const& m_faults;
    std::map<std::string, kernel::time_point> m_begins;
    std::size_t m_beginCount { 0 };
    /// Number of evacuations that a daemon still had to apply when they ended, over all daemons.
    std::size_t m_appliedCount { 0 };
    std::vector<std::string> m_findings;
};

}

#pragma once

#include "Tests/Support/engine_harness.h"
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace zinnialedge::tests {

/// Settings of a fleet of engines that call the same leafs of the service "desk".
struct cold_fleet_settings {
    std::size_t daemons { 30 };
    /// Request limit of a cold leaf; zero for none.
    double coldRequestsPerSecond { 2 };
    std::optional<std::chrono::milliseconds> warmupTime { std::chrono::seconds { 40 } };
    pacing::pace_scope paceScope { pacing::pace_scope::declared };
    /// Whether each daemon knows the others from the start.
    bool knowEachOther { true };
    std::chrono::milliseconds requestInterval { 20 };
    bool areRequestsRepeatable { true };
};

/// One daemon of the fleet.
struct cold_fleet_daemon : engine_harness {
    explicit cold_fleet_daemon(cold_fleet_settings const&);

    /// Sets the number of daemons that this daemon knows, itself included, and its phase among them.
    void share(double sharers, double phase);
};

/// Daemons that work in steps of 5 ms of one virtual time.
class cold_fleet {
public:
    explicit cold_fleet(cold_fleet_settings);

    /// Registers leafs with the ids "desk/0", "desk/1" and so on, each with its remaining warm-up time, at all daemons.
    /// `firstStart` is the start time of the first leaf, by which its incarnations differ.
    void registerLeafs(std::vector<std::chrono::milliseconds> const& warmupsLeft, std::int64_t firstStart = 1);
    /// Lets each daemon know only itself.
    void cutOff();
    /// Replaces a daemon by one that has just started, knows no other daemon, and has read the leafs.
    void restart(std::size_t index);
    /// Lets all daemons get requests. Calls are served at the next step, unless `serve` returns false.
    void press(std::chrono::milliseconds length, std::function<bool(cold_fleet_daemon&, forwarding::leaf_call const&)> const& serve = {});
    /// Returns the greatest number of calls to the leaf in any second.
    std::size_t mostInOneSecond(std::string const& leaf) const;
    std::vector<kernel::time_point> const& arrivals(std::string const& leaf) { return m_arrivals[leaf]; }
    void clearArrivals() { m_arrivals.clear(); }
    kernel::time_point now() const { return m_daemons.front()->now(); }

    std::vector<std::unique_ptr<cold_fleet_daemon>> const& daemons() const { return m_daemons; }

private:
    cold_fleet_settings m_settings;
    std::vector<std::unique_ptr<cold_fleet_daemon>> m_daemons;
    std::vector<forwarding::leaf_registration> m_leafs;
    std::map<std::string, std::vector<kernel::time_point>> m_arrivals;
    std::set<std::pair<cold_fleet_daemon const*, forwarding::call_number>> m_seen;
};

}

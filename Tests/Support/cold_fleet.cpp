#include "Tests/Support/cold_fleet.h"

#include <algorithm>

namespace zinnialedge::tests {

using namespace std::chrono_literals;

static forwarding::engine_settings makeSettings(cold_fleet_settings const& settings)
{
    auto made = engine_harness::defaultSettings();
    made.leafStarts.paceScope = settings.paceScope;
    return made;
}

/// Returns a number from 0 to below 1 that looks random.
static double scatter(std::size_t index)
{
    return static_cast<double>((index + 1) * 2'654'435'761U % 1000) / 1000;
}

cold_fleet_daemon::cold_fleet_daemon(cold_fleet_settings const& settings)
    : engine_harness(makeSettings(settings))
{
    forwarding::service_rules desk { .name = "desk" };
    desk.warmupTime = settings.warmupTime;
    desk.coldRequestsPerSecond = settings.coldRequestsPerSecond;
    engine.setRoutes(std::make_shared<forwarding::route_table const>(forwarding::route_declarations { 1, { singleRoute(settings.areRequestsRepeatable) }, { desk }, {} }), now());
}

void cold_fleet_daemon::share(double sharers, double phase)
{
    forwarding::fleet_share share;
    share.daemonsSharingLeafLimits = sharers;
    share.daemonsSharingConnections = static_cast<std::size_t>(sharers);
    share.limitPhase = phase;
    engine.setFleetShare(share, now());
}

cold_fleet::cold_fleet(cold_fleet_settings settings)
    : m_settings(settings)
{
    auto const count = static_cast<double>(settings.daemons);
    for (std::size_t index = 0; index < settings.daemons; ++index) {
        auto& daemon = *m_daemons.emplace_back(std::make_unique<cold_fleet_daemon>(settings));
        if (settings.knowEachOther) {
            daemon.share(count, (static_cast<double>(index) + scatter(index)) / count);
            // Until then, a daemon counts on more daemons than it knows.
            daemon.pass(6s);
        } else {
            daemon.share(1, scatter(index));
        }
    }
}

void cold_fleet::cutOff()
{
    for (std::size_t index = 0; index < m_daemons.size(); ++index)
        m_daemons[index]->share(1, scatter(index));
}

void cold_fleet::registerLeafs(std::vector<std::chrono::milliseconds> const& warmupsLeft, std::int64_t firstStart)
{
    m_leafs.clear();
    for (std::size_t index = 0; index < warmupsLeft.size(); ++index)
        m_leafs.push_back({ "desk/" + std::to_string(index), index == 0 ? firstStart : 1, "desk", { "10.0.0.1", 80 }, "here", 4, false, warmupsLeft[index] });
    for (auto& each : m_daemons)
        each->engine.setLeafs(m_leafs, each->now());
}

void cold_fleet::restart(std::size_t index)
{
    auto const at = now();
    m_daemons[index] = std::make_unique<cold_fleet_daemon>(m_settings);
    m_daemons[index]->pass(std::chrono::duration_cast<std::chrono::milliseconds>(at - m_daemons[index]->now()));
    m_daemons[index]->share(1, scatter(index));
    m_daemons[index]->engine.setLeafs(m_leafs, m_daemons[index]->now());
}

void cold_fleet::press(std::chrono::milliseconds length, std::function<bool(cold_fleet_daemon&, forwarding::leaf_call const&)> const& serve)
{
    static constexpr auto step = 5ms;
    for (auto elapsed = 0ms; elapsed < length; elapsed += step) {
        for (auto& each : m_daemons) {
            if (elapsed % m_settings.requestInterval < step)
                each->arrive("/single/1");
            for (auto const& call : each->openCalls()) {
                if (!m_seen.insert({ each.get(), call.number }).second) {
                    if (!serve || serve(*each, call))
                        each->succeed(call.number);
                    continue;
                }
                m_arrivals[call.leafId].push_back(each->now());
            }
            each->pass(step);
        }
    }
}

std::size_t cold_fleet::mostInOneSecond(std::string const& leaf) const
{
    auto const found = m_arrivals.find(leaf);
    if (found == m_arrivals.end())
        return 0;
    auto arrivals = found->second;
    std::sort(arrivals.begin(), arrivals.end());
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < arrivals.size(); ++last) {
        while (arrivals[last] - arrivals[first] > 1s)
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

}

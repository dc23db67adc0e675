// Limits on the calls to leafs that all daemons keep together, and leafs that are cold, start or recover.

#include "Libraries/zinnialedge/forwarding/leaf_roster.h"

#include <algorithm>

namespace zinnialedge::forwarding {

using kernel::time_point;

/// Time for which daemons that seem to have gone still count as sharers of a leaf's limit. A daemon that is cut off from the others
/// sees them leave, and would otherwise take their shares while they use them.
static constexpr std::chrono::seconds limitSharersHold { 20 };
/// Number of daemons that a daemon assumes that has just started: about the size of the largest fleet. All daemons may have started together
/// and each know only itself, and a cold leaf crashes under too many requests.
static constexpr double assumedSharers = 100;
/// Time in which a daemon hears of the others after it has first told how many it knows.
static constexpr std::chrono::seconds assumedSharersHold { 5 };

leaf_roster::leaf_roster(std::string localDataCentre, kernel::random_hook random, leaf_start_settings startSettings)
    : m_localDataCentre(std::move(localDataCentre))
    , m_random(std::move(random))
    , m_limitSharers(1, limitSharersHold)
    , m_startSettings(startSettings)
    , m_assumedSharers(assumedSharers, assumedSharersHold)
{
}

leaf_start_rules leaf_roster::startRulesOf(std::string const& service, time_point now) const
{
    auto const* const declared = m_routes ? m_routes->rulesOf(service) : nullptr;
    bool const declaresWarmup = declared && (declared->warmupTime || declared->coldRequestsPerSecond > 0);
    leaf_start_rules rules;
    rules.coldRequestsPerSecond = declared ? declared->coldRequestsPerSecond : 0;
    rules.tolerance = m_startSettings.coldLeafs;
    rules.position = { std::max(m_limitSharers.value(now), m_assumedSharers.value(now)), m_limitPhase };
    rules.wallClockOffset = m_startSettings.wallClockOffset;
    rules.isPaced = m_startSettings.paceScope == pacing::pace_scope::always || (m_startSettings.paceScope == pacing::pace_scope::declared && declaresWarmup);
    return rules;
}

leaf_handle leaf_roster::addLeaf(leaf_registration const& registration, time_point now)
{
    auto const handle = ++m_lastHandle;
    auto& record = m_leafs.emplace(handle, leaf_record { registration, connectionLimitOf(registration.service), now }).first->second;
    record.setStartRules(startRulesOf(registration.service, now), now);
    // The leafs of the first list have been serving other daemons, unless they say that they are cold.
    if (m_hasRegistrations || record.isCold(now))
        record.startPace(now);
    return handle;
}

void leaf_roster::setLimitSharers(double sharers, double phase, time_point now)
{
    m_limitSharers.set(sharers, now);
    m_assumedSharers.set(1, now);
    m_limitPhase = phase;
    for (auto& [handle, record] : m_leafs)
        record.setRateLimitSharers(m_limitSharers.value(now), now);
    refreshStartRules(now);
}

void leaf_roster::refreshStartRules(time_point now)
{
    for (auto& [handle, record] : m_leafs)
        record.setStartRules(startRulesOf(record.registration().service, now), now);
}

bool leaf_roster::limitLeaf(leaf_handle leaf, double requestsPerSecond, time_point now)
{
    return at(leaf).setRateLimit(requestsPerSecond, m_limitSharers.value(now), now);
}

std::optional<time_point> leaf_roster::nextCallTime(std::string const& service, std::span<leaf_handle const> excluded, std::size_t callsAhead, time_point now) const
{
    struct limited_leaf {
        time_point nextCallAt;
        kernel::duration interval;
    };
    std::vector<limited_leaf> limited;
    auto const leafs = m_handlesByService.find(service);
    if (leafs == m_handlesByService.end())
        return std::nullopt;
    for (auto const handle : leafs->second) {
        auto const& record = at(handle);
        if (!record.acceptsCalls(now) || std::find(excluded.begin(), excluded.end(), handle) != excluded.end())
            continue;
        if (!record.isLimited(now))
            return now;
        limited.push_back({ record.nextCallAt(now), record.callInterval(now) });
    }
    if (limited.empty())
        return std::nullopt;
    auto const earliest = [&] { return std::min_element(limited.begin(), limited.end(), [](auto const& left, auto const& right) { return left.nextCallAt < right.nextCallAt; }); };
    for (std::size_t call = 0; call < callsAhead; ++call) {
        auto const next = earliest();
        next->nextCallAt += next->interval;
    }
    return earliest()->nextCallAt;
}

kernel::duration leaf_roster::limitedCallInterval(std::string const& service, time_point now) const
{
    double callsPerSecond = 0;
    if (auto const leafs = m_handlesByService.find(service); leafs != m_handlesByService.end()) {
        for (auto const handle : leafs->second) {
            auto const interval = at(handle).callInterval(now);
            if (at(handle).acceptsCalls(now) && interval > kernel::duration::zero())
                callsPerSecond += 1 / std::chrono::duration<double> { interval }.count();
        }
    }
    return callsPerSecond == 0 ? kernel::duration::zero() : std::chrono::ceil<kernel::duration>(std::chrono::duration<double> { 1 / callsPerSecond });
}

std::optional<kernel::duration> leaf_roster::usualLatencyFor(leaf_handle leaf, time_point now) const
{
    auto const& record = at(leaf);
    double total = 0;
    std::size_t count = 0;
    if (auto const leafs = m_handlesByService.find(record.registration().service); leafs != m_handlesByService.end()) {
        for (auto const handle : leafs->second) {
            auto const& other = at(handle);
            auto const latency = other.usualSpeedLatency();
            if (handle == leaf || !latency || !other.acceptsCalls(now) || other.isStarting() || other.isCold(now))
                continue;
            total += *latency;
            ++count;
        }
    }
    if (count == 0)
        return std::nullopt;
    return std::chrono::duration_cast<kernel::duration>(std::chrono::duration<double, std::micro> { total / static_cast<double>(count) * record.machineFactor() });
}

bool leaf_roster::isPaced(std::string const& service) const
{
    auto const leafs = m_handlesByService.find(service);
    return leafs != m_handlesByService.end() && !leafs->second.empty() && at(leafs->second.front()).isPaced();
}

std::size_t leaf_roster::coldCount(time_point now) const
{
    return static_cast<std::size_t>(std::count_if(m_handleById.begin(), m_handleById.end(), [&](auto const& entry) { return at(entry.second).isCold(now); }));
}

std::size_t leaf_roster::startingCount() const
{
    return static_cast<std::size_t>(std::count_if(m_handleById.begin(), m_handleById.end(), [&](auto const& entry) { return at(entry.second).isStarting(); }));
}

}

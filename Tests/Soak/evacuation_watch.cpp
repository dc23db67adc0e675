#include "Tests/Soak/evacuation_watch.h"

namespace zinnialedge::tests::soak {

evacuation_watch::evacuation_watch(std::size_t daemons, fault_times const& faults)
    : m_daemonCount(daemons)
    , m_faults(faults)
{
}

void evacuation_watch::begin(std::string const& dataCentre)
{
    std::scoped_lock const lock { m_mutex };
    m_begins.emplace(dataCentre, std::chrono::steady_clock::now());
    ++m_beginCount;
}

void evacuation_watch::end(std::string const& dataCentre)
{
    std::scoped_lock const lock { m_mutex };
    auto const found = m_begins.find(dataCentre);
    if (found == m_begins.end())
        return;
    for (std::size_t daemon = 0; daemon < m_daemonCount; ++daemon)
        m_appliedCount += m_faults.mustBeApplied(found->second, daemon) ? 1 : 0;
    m_begins.erase(found);
}

bool evacuation_watch::isEvacuated(std::string const& dataCentre) const
{
    std::scoped_lock const lock { m_mutex };
    return m_begins.contains(dataCentre);
}

void evacuation_watch::checkArrival(std::string const& dataCentre, std::optional<std::size_t> daemon, std::string const& leaf, std::string const& requestLine)
{
    std::scoped_lock const lock { m_mutex };
    auto const found = m_begins.find(dataCentre);
    if (found == m_begins.end())
        return;
    bool isApplied = true;
    for (std::size_t each = daemon.value_or(0); each < (daemon ? *daemon + 1 : m_daemonCount); ++each)
        isApplied = isApplied && m_faults.mustBeApplied(found->second, each);
    if (isApplied)
        m_findings.push_back("EVACUATED: leaf " + leaf + " of " + dataCentre + " received \"" + requestLine + "\" from daemon" + (daemon ? std::to_string(*daemon) : "?") + ", " + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - found->second).count()) + " ms after the evacuation");
}

std::vector<std::string> evacuation_watch::findings() const
{
    std::scoped_lock const lock { m_mutex };
    return m_findings;
}

std::string evacuation_watch::summary() const
{
    std::scoped_lock const lock { m_mutex };
    return "evacuations: " + std::to_string(m_beginCount) + " begun, " + std::to_string(m_appliedCount) + " times to be applied by a daemon";
}

}

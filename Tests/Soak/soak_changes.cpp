// Changes that the platform's operators make during a run. They draw from random number generators of their own.

#include "Tests/Soak/soak_run.h"

namespace zinnialedge::tests::soak {

using namespace std::chrono_literals;

static constexpr std::uint64_t tenantChangeInterval = 15;
static constexpr std::uint64_t evacuationChangeInterval = 25;
/// Longer than the platform's bound of 5 s, so that the rest is checked in each run.
static constexpr auto undisturbedTime = 8s;

void soak_run::keepUndisturbed()
{
    m_undisturbedUntil = std::chrono::steady_clock::now() + undisturbedTime;
    setStoreFaultMode(store_stand_in::trouble::none);
}

void soak_run::changeTenants()
{
    if (!FLAGS_tenants || !areDaemonsUpgraded())
        return;
    if (!m_watches.tenants.areDeclared()) {
        recordEvent("tenants declared");
        declareNextVersion();
        return;
    }
    if (m_tenantRandom() % tenantChangeInterval != 0)
        return;
    bool const isUndisturbed = m_tenantRandom() % 3 == 0;
    recordEvent(m_watches.tenants.change() + (isUndisturbed ? ", undisturbed" : ""));
    declareNextVersion();
    if (isUndisturbed)
        keepUndisturbed();
}

void soak_run::changeEvacuations()
{
    if (!FLAGS_evacuations || !areDaemonsUpgraded() || m_evacuationRandom() % evacuationChangeInterval != 0)
        return;
    std::string const dataCentre = m_evacuationRandom() % 2 == 0 ? "here" : "there";
    bool const isUndisturbed = m_evacuationRandom() % 2 == 0;
    if (std::chrono::steady_clock::now() < m_undisturbedUntil)
        return;
    if (m_watches.evacuations.isEvacuated(dataCentre)) {
        recordEvent("end of the evacuation of " + dataCentre);
        m_watches.evacuations.end(dataCentre);
        m_fleet.store().erase("evacuations", dataCentre);
        return;
    }
    recordEvent(std::string { "evacuation of " } + dataCentre + (isUndisturbed ? ", undisturbed" : ""));
    // An evacuation with content that cannot be read is in force as well.
    m_fleet.store().put("evacuations", dataCentre, m_evacuationRandom() % 4 == 0 ? boost::json::value("unreadable") : boost::json::value(boost::json::object {}));
    m_watches.evacuations.begin(dataCentre);
    if (isUndisturbed)
        keepUndisturbed();
}

void soak_run::endEvacuations()
{
    for (auto const* const dataCentre : { "here", "there" }) {
        m_watches.evacuations.end(dataCentre);
        m_fleet.store().erase("evacuations", dataCentre);
    }
}

void soak_run::restoreEvacuations()
{
    for (auto const* const dataCentre : { "here", "there" }) {
        if (m_watches.evacuations.isEvacuated(dataCentre))
            m_fleet.store().put("evacuations", dataCentre, boost::json::object {});
        else
            m_fleet.store().erase("evacuations", dataCentre);
    }
}

void soak_run::replaceNextOldDaemon()
{
    auto const index = m_replacedCount++;
    recordEvent("daemon" + std::to_string(index) + " is replaced by this build");
    startPlannedStop(index, [this, index] {
        m_fleet.daemon(index).programFolder.clear();
        completeSettings(m_fleet, index);
        ++m_upgradedCount;
    });
}

void soak_run::replaceOldDaemons()
{
    if (m_replacedCount == FLAGS_old_daemons || m_isStopping[m_replacedCount])
        return;
    // The last daemon is replaced well before the faults end.
    auto const interval = std::chrono::duration<double> { static_cast<double>(FLAGS_seconds) / static_cast<double>(FLAGS_old_daemons + 2) };
    if (std::chrono::steady_clock::now() - m_startTime >= interval * static_cast<double>(m_replacedCount + 1))
        replaceNextOldDaemon();
}

void completeSettings(edge_fleet& fleet, std::size_t index)
{
    if (FLAGS_evacuations)
        fleet.replaceSetting(index, "evacuations", true);
    if (FLAGS_quotas)
        fleet.replaceSetting(index, "quotas", { { "window_s", 5 }, { "overage", 0.1 }, { "slack", 20 } });
}

}

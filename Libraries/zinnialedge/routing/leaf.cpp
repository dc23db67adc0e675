#include "Libraries/zinnialedge/routing/leaf.h"

#include "Kernel/verify.h"
#include <algorithm>

namespace zinnialedge::routing {

static constexpr double initialLatencyMicroseconds = 2000;
static constexpr double latencyWeight = 0.2;
/// How much a fully loaded report lengthens the expected delay. It is small, since reports lag or mislead.
static constexpr double reportedLoadWeight = 0.2;

leaf::leaf(std::string service, model::target_declaration const& declared, std::uint32_t connectionShare)
    : m_service(std::move(service))
    , m_name(declared.name)
    , m_place(declared.place)
    , m_slots(declared.slots)
    , m_connectionShare(connectionShare)
    , m_limit(declared.slots, connectionShare)
    , m_latencyMicroseconds(initialLatencyMicroseconds)
{
    redeclare(declared, connectionShare);
}

void leaf::redeclare(model::target_declaration const& declared, std::uint32_t connectionShare)
{
    m_place = declared.place;
    m_slots = declared.slots;
    m_connectionShare = connectionShare;
    m_limit.setMaximum(connectionShare);
    m_isDrainingByDeclaration = declared.isDraining;
    if (m_isDrainingByDeclaration)
        m_lifecycle.noteDrain();
    else if (!m_isDrainingByItself)
        m_lifecycle.noteUndrain();
    if (!m_versions.empty())
        m_lifecycle.noteHeard();
}

void leaf::noteStatus(std::vector<std::uint64_t> epochs, std::vector<std::uint64_t> versions, double load, bool isDraining)
{
    m_epochs = std::move(epochs);
    m_versions = std::move(versions);
    m_reportedLoad = std::clamp(load, 0.0, 1.0);
    m_isDrainingByItself = isDraining;
    if (isDraining)
        m_lifecycle.noteDrain();
    else if (!m_isDrainingByDeclaration && m_lifecycle.state() == target_state::draining)
        m_lifecycle.noteUndrain();
    if (!isDraining)
        m_lifecycle.noteHeard();
}

void leaf::noteRefusedAsDraining()
{
    m_isDrainingByItself = true;
    m_lifecycle.noteDrain();
}

void leaf::noteSent(kernel::time_point now)
{
    m_sentAt.push_back(now);
}

void leaf::noteEnded(kernel::time_point sentAt, kernel::time_point now, bool isAnswer)
{
    auto const found = std::find(m_sentAt.begin(), m_sentAt.end(), sentAt);
    VERIFY(found != m_sentAt.end());
    bool const wasAtLimit = inFlight() >= m_limit.value();
    m_sentAt.erase(found);
    if (!isAnswer)
        return;
    auto const sample = static_cast<double>(std::chrono::duration_cast<std::chrono::microseconds>(now - sentAt).count());
    m_latencyMicroseconds += latencyWeight * (sample - m_latencyMicroseconds);
    m_limit.noteSuccess(wasAtLimit);
}

void leaf::noteShed()
{
    m_limit.noteShed();
}

bool leaf::isServing(std::uint64_t epoch, std::uint64_t version) const
{
    return std::find(m_epochs.begin(), m_epochs.end(), epoch) != m_epochs.end()
        && std::find(m_versions.begin(), m_versions.end(), version) != m_versions.end();
}

double leaf::expectedDelayMicroseconds(kernel::time_point now) const
{
    double const queued = static_cast<double>(inFlight()) / m_slots;
    double delay = m_latencyMicroseconds * (1 + queued) * (1 + reportedLoadWeight * m_reportedLoad);
    // A leaf that has held a call for long is likely to hold the next one as long.
    if (!m_sentAt.empty()) {
        auto const oldest = *std::min_element(m_sentAt.begin(), m_sentAt.end());
        delay += std::max(0.0, static_cast<double>(std::chrono::duration_cast<std::chrono::microseconds>(now - oldest).count()) - m_latencyMicroseconds);
    }
    return delay;
}

}

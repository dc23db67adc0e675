#include "Libraries/zinnialedge/routing/leaf.h"

#include "Kernel/verify.h"
#include <algorithm>

namespace zinnialedge::routing {

static constexpr double initialLatencyMicroseconds = 2000;
static constexpr double latencyWeight = 0.2;
/// Weight of one sample in the long-term average, which tells a slow leaf from a leaf that had a few long calls.
static constexpr double longTermLatencyWeight = 0.05;
/// Weight of a sample that follows a gap. Probes give few samples, so a few of them must be enough to move the average.
static constexpr double sparseLatencyWeight = 0.5;
static constexpr std::chrono::milliseconds sparseSampleGap { 250 };
static constexpr std::chrono::milliseconds probeInterval { 500 };
static constexpr std::chrono::milliseconds reportedLoadLifetime { 2000 };
/// Maximum number of calls in flight for each slot of a leaf. The call beyond the first covers the transit time;
/// further calls would only queue at the leaf, where this daemon can no longer redirect them.
static constexpr std::uint32_t callsPerSlot = 2;
/// Initial limit on the calls in flight to a leaf that is new or reachable again.
static constexpr std::uint32_t coldStartLimit = 1;
/// Relative increase of the expected delay when a leaf reports full load. The weight is small because reports are late or inaccurate.
static constexpr double reportedLoadWeight = 0.2;

leaf::leaf(std::string service, model::target_declaration const& declared, std::uint32_t connectionShare)
    : m_service(std::move(service))
    , m_name(declared.name)
    , m_endpoint(declared.place)
    , m_slots(declared.slots)
    , m_connectionShare(connectionShare)
    , m_callLimit(coldStartLimit, connectionShare)
    , m_averageLatencyMicroseconds(initialLatencyMicroseconds)
    , m_longTermLatencyMicroseconds(initialLatencyMicroseconds)
{
    updateDeclaration(declared, connectionShare);
}

void leaf::updateDeclaration(model::target_declaration const& declared, std::uint32_t connectionShare)
{
    m_endpoint = declared.place;
    m_slots = declared.slots;
    m_connectionShare = connectionShare;
    m_callLimit.setMaximum(maximumCallsInFlight(connectionShare));
    m_isDeclaredDraining = declared.isDraining;
    if (m_isDeclaredDraining)
        m_lifecycle.handleDrain();
    else if (!m_hasReportedDraining)
        m_lifecycle.handleUndrain();
    if (!m_versions.empty())
        m_lifecycle.handleStatus();
}

void leaf::recordStatus(std::vector<std::uint64_t> epochs, std::vector<std::uint64_t> versions, double load, bool isDraining, kernel::time_point now)
{
    m_isReachable = true;
    m_lastStatusAt = now;
    m_epochs = std::move(epochs);
    m_versions = std::move(versions);
    m_reportedLoad = std::clamp(load, 0.0, 1.0);
    m_hasReportedDraining = isDraining;
    if (isDraining)
        m_lifecycle.handleDrain();
    else if (!m_isDeclaredDraining && m_lifecycle.state() == target_state::draining)
        m_lifecycle.handleUndrain();
    if (!isDraining)
        m_lifecycle.handleStatus();
}

void leaf::recordDrainingRefusal()
{
    m_hasReportedDraining = true;
    m_lifecycle.handleDrain();
}

std::uint32_t leaf::maximumCallsInFlight(std::uint32_t connections) const
{
    return std::max<std::uint32_t>(1, std::min(connections, callsPerSlot * m_slots));
}

void leaf::markUnreachable()
{
    m_isReachable = false;
    m_callLimit = { coldStartLimit, maximumCallsInFlight(m_connectionShare) };
}

void leaf::setOpenConnections(std::uint32_t connections)
{
    m_callLimit.setMaximum(maximumCallsInFlight(connections));
}

void leaf::recordCallSent(kernel::time_point now)
{
    m_sendTimes.push_back(now);
    m_lastCallSentAt = now;
}

void leaf::recordCallEnded(kernel::time_point sentAt, kernel::time_point now, bool wasAnswered)
{
    auto const found = std::find(m_sendTimes.begin(), m_sendTimes.end(), sentAt);
    VERIFY(found != m_sendTimes.end());
    bool const wasAtLimit = inFlight() >= m_callLimit.value();
    m_sendTimes.erase(found);
    auto const sample = static_cast<double>(std::chrono::duration_cast<std::chrono::microseconds>(now - sentAt).count());
    // A call that was cancelled or lost would have taken at least this long, so its duration counts only when it raises the average.
    if (wasAnswered || sample > m_averageLatencyMicroseconds)
        addLatencySample(sample, now);
    if (!wasAnswered)
        return;
    m_lastReplyAt = now;
    m_callLimit.recordSuccess(wasAtLimit);
}

void leaf::addLatencySample(double microseconds, kernel::time_point now)
{
    bool const isSparse = now - m_lastSampleAt > sparseSampleGap;
    m_averageLatencyMicroseconds += (isSparse ? sparseLatencyWeight : latencyWeight) * (microseconds - m_averageLatencyMicroseconds);
    m_longTermLatencyMicroseconds += (isSparse ? sparseLatencyWeight : longTermLatencyWeight) * (microseconds - m_longTermLatencyMicroseconds);
    m_lastSampleAt = now;
}

bool leaf::isProbeDue(kernel::time_point now) const
{
    return m_sendTimes.empty() && now - m_lastCallSentAt >= probeInterval;
}

double leaf::oldestCallAgeMicroseconds(kernel::time_point now) const
{
    if (m_sendTimes.empty())
        return 0;
    auto const oldest = *std::min_element(m_sendTimes.begin(), m_sendTimes.end());
    return static_cast<double>(std::chrono::duration_cast<std::chrono::microseconds>(now - oldest).count());
}

double leaf::unresponsiveMicroseconds(kernel::time_point now) const
{
    // A single long call does not predict the duration of the next call while other calls to the leaf still finish.
    auto const sinceAnswer = static_cast<double>(std::chrono::duration_cast<std::chrono::microseconds>(now - m_lastReplyAt).count());
    return std::min(oldestCallAgeMicroseconds(now), sinceAnswer);
}

double leaf::maximumCallsPerSecond(kernel::time_point now) const
{
    static constexpr double microsecondsPerSecond = 1e6;
    return m_callLimit.value() * microsecondsPerSecond / std::max(1.0, recentCallMicroseconds(now));
}

void leaf::recordShed()
{
    m_callLimit.recordShed();
}

bool leaf::servesSnapshot(std::uint64_t epoch, std::uint64_t version) const
{
    return std::find(m_epochs.begin(), m_epochs.end(), epoch) != m_epochs.end()
        && std::find(m_versions.begin(), m_versions.end(), version) != m_versions.end();
}

double leaf::expectedDelayMicroseconds(kernel::time_point now) const
{
    double const queued = static_cast<double>(inFlight()) / m_slots;
    double const reportAge = std::chrono::duration<double>(now - m_lastStatusAt) / std::chrono::duration<double>(reportedLoadLifetime);
    double const reported = m_reportedLoad * std::max(0.0, 1 - reportAge);
    double const delay = m_averageLatencyMicroseconds * (1 + queued) * (1 + reportedLoadWeight * reported);
    // A leaf that has held a call for a long time is likely to hold the next call for as long.
    return delay + std::max(0.0, oldestCallAgeMicroseconds(now) - m_averageLatencyMicroseconds);
}

}

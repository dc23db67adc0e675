#include "Libraries/zinnialedge/reachability/link_monitor.h"

#include <algorithm>
#include <utility>

namespace zinnialedge::reachability {

using kernel::time_point;

/// Fewer silent leafs may have paused together.
static constexpr std::size_t decisiveLeafs = 3;
/// A service may have two leafs only, and lose no others when new connections no longer open.
static constexpr std::size_t suspiciousFailures = 2;
/// Longer than the pauses in which a leaf stands still from time to time.
static constexpr std::chrono::milliseconds silenceLimit { 150 };
static constexpr std::size_t probesOfSuspicion = 4;
/// Time for the handshake of a probe. A leaf that is busy still completes handshakes.
static constexpr std::chrono::milliseconds handshakeTimeout { 200 };
/// Time for the reply once a handshake has succeeded. A probe waits in the leaf's queue like any call.
static constexpr std::chrono::milliseconds probeReplyTimeout { 1000 };
/// A check that runs so late shows that this process stood still, and replies may wait in its sockets.
static constexpr std::chrono::milliseconds stallTolerance { 50 };
static constexpr unsigned maximumExtensions { 3 };
/// Time after an unfounded suspicion before the next one. The links may be lost while leafs that are gone raise suspicions.
static constexpr std::chrono::milliseconds suspicionPause { 1000 };
/// Time after the handshake of a probe for which a reply of a leaf does not seem impossible; longer than a probe waits for one.
static constexpr std::chrono::milliseconds openedWindow { 2000 };
static constexpr std::size_t probesWhileLost = 2;
static constexpr std::chrono::milliseconds lostProbeInterval { 250 };
/// Replies that prove the links must come within this time.
static constexpr std::chrono::milliseconds provingWindow { 1000 };
/// Links that fail again within this time after they were restored count as lost for longer and longer, so that a daemon with unsteady
/// links does not enter and leave the directory all the time.
static constexpr std::chrono::seconds relapseTime { 10 };
static constexpr std::chrono::milliseconds firstRelapseHold { 1000 };
static constexpr std::chrono::milliseconds longestLossHold { 8000 };

/// Enough for their silence to be decisive.
static constexpr std::size_t probesOfCheck = decisiveLeafs;
/// Minimum time between two checks, which bounds the probes while other daemons lose their links one after the other.
static constexpr std::chrono::milliseconds checkInterval { 2000 };
/// Longest time from the probes of a check to the loss of the links: the silence that raises a suspicion, and the handshakes of its probes.
static constexpr std::chrono::milliseconds checkTimeout { 500 };
static constexpr std::chrono::milliseconds quietTime { 2000 };

char const* toString(link_state state)
{
    switch (state) {
    case link_state::intact:
        return "intact";
    case link_state::suspected:
        return "suspected";
    case link_state::lost:
        break;
    }
    return "lost";
}

std::size_t link_monitor::decisiveLeafCount() const
{
    return std::min(decisiveLeafs, m_leafCount);
}

void link_monitor::setLeafCount(std::size_t count, time_point now)
{
    m_leafCount = count;
    if (count > 0)
        return;
    // Without leafs there is nothing to reach, and nothing that could prove the links.
    m_failedLeafs.clear();
    m_unansweredSince.clear();
    if (m_state == link_state::lost)
        m_restoredAt = now;
    if (m_state != link_state::intact)
        dismissSuspicion(now);
}

void link_monitor::recordCall(leaf_key leaf, time_point now)
{
    auto const [found, isNew] = m_unansweredSince.try_emplace(leaf, now);
    if (!isNew && found->second < m_lastReplyAt)
        found->second = now;
    if (!m_silenceCheckAt)
        m_silenceCheckAt = now + silenceLimit;
}

void link_monitor::recordReply(leaf_key leaf, bool isOnNewConnection, time_point now)
{
    m_lastReplyAt = now;
    m_unansweredSince.erase(leaf);
    if (m_state == link_state::lost) {
        if (isOnNewConnection)
            m_provingReplies[leaf] = now;
        restoreIfProved(now);
        return;
    }
    if (isOnNewConnection)
        m_failedLeafs.clear();
    if (m_state == link_state::suspected && m_failedLeafs.size() < std::min(suspiciousFailures, m_leafCount))
        dismissSuspicion(now);
}

void link_monitor::recordFailure(leaf_key leaf, time_point now)
{
    m_unansweredSince.erase(leaf);
    m_failedLeafs.insert(leaf);
    if (m_state == link_state::intact && m_leafCount > 0 && m_failedLeafs.size() >= std::min(suspiciousFailures, m_leafCount) && now >= m_nextSuspicionAt)
        suspect(now);
}

void link_monitor::recordProbeOpened(time_point now)
{
    m_probeOpenedAt = now;
    if (m_state == link_state::suspected)
        m_probesDecideAt = std::max(*m_probesDecideAt, now + probeReplyTimeout);
}

void link_monitor::recordProbeFailure(leaf_key leaf, bool hasTimedOut, time_point now)
{
    if (!hasTimedOut)
        m_probeOpenedAt = {};
    m_failedLeafs.insert(leaf);
    m_probesInFlight -= std::min<std::size_t>(m_probesInFlight, 1);
    if (m_state == link_state::suspected && m_probesInFlight == 0 && m_dueProbes == 0)
        declareLost(now);
}

void link_monitor::requestCheck(time_point at, time_point now)
{
    if (m_state != link_state::intact || m_leafCount == 0)
        return;
    auto dueAt = std::max(at, now);
    if (m_checkedAt != time_point {})
        dueAt = std::max(dueAt, m_checkedAt + checkInterval);
    // A reply that came before the last request for a check says nothing of what has happened since.
    m_checkRequestedAt = now;
    m_checkDueAt = std::min(m_checkDueAt.value_or(time_point::max()), dueAt);
}

bool link_monitor::isChecking(time_point now) const
{
    bool const hasSign = m_lastReplyAt >= m_checkedAt || m_probeOpenedAt >= m_checkedAt;
    return m_state != link_state::lost && m_leafCount > 0 && !hasSign && now - m_checkedAt < checkTimeout;
}

bool link_monitor::isQuiet(time_point now) const
{
    return now - m_lastReplyAt >= quietTime;
}

void link_monitor::forgetLeaf(leaf_key leaf)
{
    m_unansweredSince.erase(leaf);
    m_failedLeafs.erase(leaf);
    m_provingReplies.erase(leaf);
}

void link_monitor::recordProbeWithdrawn(leaf_key leaf, time_point now)
{
    forgetLeaf(leaf);
    m_probesInFlight -= std::min<std::size_t>(m_probesInFlight, 1);
    if (m_state != link_state::suspected)
        return;
    m_dueProbes = std::min(m_dueProbes + 1, m_leafCount);
    m_probesDecideAt = std::max(*m_probesDecideAt, now + handshakeTimeout);
}

std::size_t link_monitor::countSilentLeafs(time_point now) const
{
    return static_cast<std::size_t>(std::count_if(m_unansweredSince.begin(), m_unansweredSince.end(), [&](auto const& entry) { return entry.second >= m_lastReplyAt && now - entry.second >= silenceLimit; }));
}

void link_monitor::suspect(time_point now)
{
    m_state = link_state::suspected;
    m_wasSilent = countSilentLeafs(now) >= decisiveLeafCount();
    m_dueProbes = std::min(probesOfSuspicion, m_leafCount);
    m_probesInFlight = 0;
    m_extensionCount = 0;
    m_probesDecideAt = now + handshakeTimeout;
}

void link_monitor::dismissSuspicion(time_point now)
{
    m_state = link_state::intact;
    m_dueProbes = 0;
    m_probesDecideAt.reset();
    m_provingReplies.clear();
    m_nextSuspicionAt = now + suspicionPause;
}

void link_monitor::declareLost(time_point now)
{
    bool const isRelapse = m_restoredAt != time_point {} && now - m_restoredAt < relapseTime;
    m_lossHold = isRelapse ? std::clamp<kernel::duration>(m_lossHold * 2, firstRelapseHold, longestLossHold) : kernel::duration::zero();
    m_state = link_state::lost;
    m_lostAt = now;
    m_provingReplies.clear();
    m_dueProbes = 0;
    m_probesDecideAt = now + lostProbeInterval;
}

void link_monitor::restoreIfProved(time_point now)
{
    std::erase_if(m_provingReplies, [&](auto const& entry) { return now - entry.second > provingWindow; });
    if (m_provingReplies.empty())
        return;
    if (m_provingReplies.size() < decisiveLeafCount() || now - m_lostAt < m_lossHold) {
        // The first reply is followed by further probes at once, so that callers return soon after the links do.
        if (m_provingReplies.size() == 1)
            m_dueProbes = probesOfSuspicion;
        return;
    }
    m_restoredAt = now;
    m_failedLeafs.clear();
    m_unansweredSince.clear();
    dismissSuspicion(now);
    // The links may be lost again at once.
    m_nextSuspicionAt = now;
}

std::size_t link_monitor::takeDueProbes(time_point now)
{
    if (m_silenceCheckAt && *m_silenceCheckAt <= now) {
        m_silenceCheckAt.reset();
        if (m_state == link_state::intact && m_leafCount > 0 && now >= m_nextSuspicionAt && countSilentLeafs(now) >= decisiveLeafCount())
            suspect(now);
        for (auto const& [leaf, since] : m_unansweredSince) {
            if (m_state == link_state::intact && since >= m_lastReplyAt)
                m_silenceCheckAt = std::min(m_silenceCheckAt.value_or(time_point::max()), std::max({ since + silenceLimit, now + silenceLimit / 3, m_nextSuspicionAt }));
        }
    }
    if (m_checkDueAt && *m_checkDueAt <= now) {
        m_checkDueAt.reset();
        if (m_state == link_state::intact && m_leafCount > 0 && m_lastReplyAt <= m_checkRequestedAt) {
            m_checkedAt = now;
            m_dueProbes = std::max(m_dueProbes, std::min(probesOfCheck, m_leafCount));
        }
    }
    if (m_probesDecideAt && *m_probesDecideAt <= now) {
        if (m_state == link_state::lost) {
            m_dueProbes = std::max(m_dueProbes, std::min(probesWhileLost, m_leafCount));
            m_probesDecideAt = now + lostProbeInterval;
            restoreIfProved(now);
        } else if (now - *m_probesDecideAt > stallTolerance && m_extensionCount < maximumExtensions) {
            ++m_extensionCount;
            m_probesDecideAt = now + handshakeTimeout;
        } else {
            declareLost(now);
        }
    }
    m_probesInFlight += m_dueProbes;
    return std::exchange(m_dueProbes, 0);
}

std::optional<time_point> link_monitor::nextCheckTime() const
{
    if (m_dueProbes > 0)
        return time_point {};
    std::optional<time_point> next;
    for (auto const& each : { m_probesDecideAt, m_silenceCheckAt, m_checkDueAt }) {
        if (each && (!next || *each < *next))
            next = each;
    }
    return next;
}

bool link_monitor::isSurelyLost(time_point now) const
{
    // Links that are proved may count as lost for a while longer because they were unsteady.
    bool const hasReply = std::any_of(m_provingReplies.begin(), m_provingReplies.end(), [&](auto const& entry) { return now - entry.second <= provingWindow; });
    return m_state == link_state::lost && !hasReply && now - m_probeOpenedAt > openedWindow;
}

link_evidence link_monitor::evidence(time_point now) const
{
    return { countSilentLeafs(now), m_failedLeafs.size(), now - m_lastReplyAt };
}

}

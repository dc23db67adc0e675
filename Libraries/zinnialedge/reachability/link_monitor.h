#pragma once

#include "Kernel/clock.h"
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace zinnialedge::reachability {

/// Identifies a leaf for as long as this daemon knows the leaf.
using leaf_key = std::uint32_t;

enum class link_state {
    /// Leafs reply, or too little is known to doubt it.
    intact,
    /// Several leafs give no sign of life. Probes are in flight that show whether any leaf replies.
    suspected,
    /// No probe has had a reply.
    lost,
};

char const* toString(link_state);

/// What a state rests on, for the logs.
struct link_evidence {
    /// Number of leafs that have been silent since the last reply of any leaf.
    std::size_t silentLeafs { 0 };
    /// Number of leafs whose connections failed since the last reply over a new connection.
    std::size_t failedLeafs { 0 };
    kernel::duration sinceLastReply {};
};

/// Tells the loss of this daemon's own links from the loss of leafs. One leaf that is silent or refuses connections may be gone. When
/// several are, and no leaf replies, probes of those leafs that replied last decide: with intact links, at least one of them replies.
class link_monitor {
public:
    /// Sets the number of leafs to which calls may be sent.
    void setLeafCount(std::size_t, kernel::time_point now);

    /// Records that a call was sent to the leaf.
    void recordCall(leaf_key, kernel::time_point now);
    /// Records a reply of the leaf. Only replies over new connections show that connections can be opened.
    void recordReply(leaf_key, bool isOnNewConnection, kernel::time_point now);
    /// Records that a connection to the leaf did not open, or ended before a reply.
    void recordFailure(leaf_key, kernel::time_point now);
    /// Records that a connection for a probe has opened, so that the reply may take longer.
    void recordProbeOpened(kernel::time_point now);
    /// Records the end of a probe without a reply. A leaf that is only busy keeps the connection open.
    void recordProbeFailure(leaf_key, bool hasTimedOut, kernel::time_point now);

    /// Asks for a check of the links by a few probes at the given time. The check is left out when a leaf replies before, and deferred when
    /// the last one was a short time ago.
    void requestCheck(kernel::time_point at, kernel::time_point now);
    /// Returns whether a check of the links is under way that no leaf has given a sign to yet.
    bool isChecking(kernel::time_point now) const;
    /// Returns whether no leaf has replied for seconds, so that nothing is known of the links.
    bool isQuiet(kernel::time_point now) const;

    /// Takes that nothing is sent to the leaf any more, so that its silence and failures say nothing about the links.
    void forgetLeaf(leaf_key);
    /// Records that a probe was given up because its leaf must not be called any more; another leaf is probed in its place.
    void recordProbeWithdrawn(leaf_key, kernel::time_point now);

    /// Updates the state, and returns the number of probes to send now; the number is returned once.
    std::size_t takeDueProbes(kernel::time_point now);
    /// Returns the time at which takeDueProbes() must be called next, if no record is made before.
    std::optional<kernel::time_point> nextCheckTime() const;

    link_state state() const { return m_state; }
    /// Returns whether the links are lost, and no probe has had a reply or even opened a connection lately.
    bool isSurelyLost(kernel::time_point now) const;
    /// Returns whether the last doubt about the links arose from silence over open connections, which may have died without notice.
    bool wasSilent() const { return m_wasSilent; }
    /// Returns whether the leaf has failed or is silent, so that a probe of it would tell little about the links.
    bool isDoubtful(leaf_key leaf) const { return m_failedLeafs.contains(leaf) || m_unansweredSince.contains(leaf); }
    link_evidence evidence(kernel::time_point now) const;

private:
    /// Number of leafs whose silence or failure makes the links suspect, and whose replies end their loss.
    std::size_t decisiveLeafCount() const;
    std::size_t countSilentLeafs(kernel::time_point now) const;
    void suspect(kernel::time_point now);
    void dismissSuspicion(kernel::time_point now);
    void declareLost(kernel::time_point now);
    void restoreIfProved(kernel::time_point now);

    link_state m_state { link_state::intact };
    std::size_t m_leafCount { 0 };
    kernel::time_point m_lastReplyAt;
    /// Time of the first call since the last reply of any leaf, for each leaf that has not replied to it.
    std::unordered_map<leaf_key, kernel::time_point> m_unansweredSince;
    std::unordered_set<leaf_key> m_failedLeafs;
    /// Leafs that replied over new connections while the links were lost, with the times of their last replies.
    std::unordered_map<leaf_key, kernel::time_point> m_provingReplies;
    std::size_t m_probesInFlight { 0 };
    std::size_t m_dueProbes { 0 };
    /// Time at which probes without a reply show that the links are lost, or at which the next probes are due.
    std::optional<kernel::time_point> m_probesDecideAt;
    std::optional<kernel::time_point> m_silenceCheckAt;
    bool m_wasSilent { false };
    unsigned m_extensionCount { 0 };
    std::optional<kernel::time_point> m_checkDueAt;
    kernel::time_point m_checkRequestedAt;
    kernel::time_point m_checkedAt;
    kernel::time_point m_probeOpenedAt;
    kernel::time_point m_nextSuspicionAt;
    kernel::time_point m_lostAt;
    kernel::time_point m_restoredAt;
    /// Minimum time for which the links count as lost; longer for links that fail again soon.
    kernel::duration m_lossHold {};
};

}

#pragma once

#include "Libraries/zinnialedge/quarantine/recent_digests.h"
#include "Libraries/zinnialedge/quarantine/request_evidence.h"
#include "Libraries/zinnialedge/quarantine/suspect.h"
#include <map>
#include <span>
#include <utility>

namespace zinnialedge::quarantine {

/// Decision on a call for a request.
enum class verdict {
    /// No leaf was lost under the request since its last success.
    innocent,
    /// Few leafs were lost. The request is sent, without calls that only save time.
    suspected,
    /// One call may be sent, to find out whether the request still ends leafs.
    trial,
    /// The request is not sent to any leaf.
    quarantined,
};

/// Returns whether a leaf may be called for one part of a request. A part that may not waits for the outcome of the open calls.
/// `hasOpenCalls` tells whether other parts of the request have open calls.
template <typename has_open_calls>
bool mayCallLeaf(verdict judged, bool isFirstCall, has_open_calls const& hasOpenCalls)
{
    switch (judged) {
    case verdict::innocent:
        return true;
    case verdict::suspected:
        // The open calls to other shards tell soon whether the leaf was lost by chance.
        return isFirstCall || !hasOpenCalls();
    case verdict::trial:
        return !hasOpenCalls();
    case verdict::quarantined:
        break;
    }
    return false;
}

/// Shortest time between two messages to the other daemons. Leafs that are lost together are told of together.
inline constexpr std::chrono::milliseconds sharingInterval { 50 };

/// Requests under which leafs were lost, as this daemon and others have seen. The table has a fixed size, and each entry ends.
class quarantine_table {
public:
    /// `daemonSeed` differs between daemons; it spreads the times at which they let a quarantined request be tried again.
    explicit quarantine_table(std::uint64_t daemonSeed)
        : m_daemonSeed(daemonSeed)
    {
    }

    /// Returns the strictest verdict on the digests of a request.
    verdict judge(request_digests const&, kernel::time_point now) const;
    /// Returns the verdict on a request that is being handled. A request that tries whether it still ends leafs may go on until a leaf
    /// is lost: its first call may have reached a leaf that did not run it.
    verdict judge(request_evidence&, kernel::time_point now) const;
    /// Returns whether the request was quarantined by a loss after the given time.
    bool isQuarantinedSince(request_digests const&, kernel::time_point since, kernel::time_point now) const;
    /// Returns whether the request is in the table as one that ends leafs and lost a leaf after the given time. It may be due for a trial.
    bool hasLossesSince(request_digests const&, kernel::time_point since) const;
    /// Returns the time from which on the quarantined request may be tried again.
    kernel::time_point nextTrialTime(suspect const&) const;

    /// Records that a call for the request is sent.
    void recordCall(request_evidence&, kernel::time_point now);
    /// Records that a call for the request ended with neither a reply nor a loss.
    void recordUnansweredCall(request_evidence&, kernel::time_point now);
    /// Records that the call that tried the request again ended with neither a reply nor a sign of the leaf's end. The leaf may have ended,
    /// so that it counts as lost until it replies.
    void recordUnansweredTrial(request_evidence&, leaf_loss const&, kernel::time_point now);
    /// Records that the call that was to try the request again has reached no leaf, so that it showed nothing.
    void recordUnsentTrial(request_evidence&);
    /// Records the loss of a leaf. Returns whether the request is quarantined now and was not before.
    bool recordLoss(request_digests const&, leaf_loss const&, kernel::time_point now);
    /// Records that a leaf ran the request and replied. For some seconds losses do not count against the request, as they have another
    /// cause. Returns whether leafs had been lost under it.
    bool recordSuccess(request_digests const&, kernel::time_point now);
    /// Records that the leaf has sent a reply, so that it was not lost under any request.
    void refuteLosses(std::uint64_t leaf, kernel::time_point now);
    /// Records that the leaf has replied to a call that was sent at `aliveAt`, which refutes earlier losses of it by any daemon. A loss that is
    /// so old that the leaf may have started again is refuted when the leaf goes on replying for some time.
    void refuteLossesBefore(std::uint64_t leaf, kernel::time_point aliveAt, kernel::time_point now);
    /// Sets whether the registrations of leafs are up to date. A leaf that has ended and started again under its id is recognized by them.
    void setRegistrationsCurrent(bool isCurrent);
    /// Merges what another daemon knows. Returns the requests that are quarantined now and were not before.
    std::vector<request_digest> merge(std::span<suspect const>, kernel::time_point now);

    /// Returns the leafs whose replies would refute losses of quarantined requests. `isOfThisDaemon` chooses the requests.
    std::set<std::uint64_t> leafsToCheck(std::function<bool(request_digest const&)> const& isOfThisDaemon) const;

    suspect const* find(request_digest const&) const;
    bool isEmpty() const { return m_entries.empty(); }
    std::size_t size() const { return m_entries.size(); }
    std::size_t quarantinedCount() const;
    /// Returns the suspects that other daemons should know, those that changed last first.
    std::vector<suspect> suspectsToShare(kernel::time_point now) const;
    /// Returns whether anything has changed since the last call.
    bool takeChanges() { return std::exchange(m_hasChanges, false); }

    /// Forgets the requests whose time is over.
    void removeExpired(kernel::time_point now);

    static constexpr std::size_t capacity = 256;

private:
    struct entry {
        suspect known;
        kernel::time_point changedAt;
    };

    /// Calls the function for each entry of the digests that is quarantined.
    void forEachQuarantined(request_digests const&, std::function<void(entry&)> const&);
    verdict judgeDigest(request_digest const&, kernel::time_point now) const;
    static bool isQuarantined(suspect const& known) { return lossCount(known) >= quarantineLossCount; }
    entry& entryOf(request_digest const&, kernel::time_point now);
    void markChanged(entry&, kernel::time_point now);
    /// Removes the entry that matters least.
    void evict();

    std::uint64_t m_daemonSeed;
    std::map<request_digest, entry> m_entries;
    recent_digests m_successes;
    bool m_areRegistrationsCurrent { true };
    bool m_hasChanges { false };
};

}

#pragma once

#include "Kernel/clock.h"
#include "Libraries/zinnialedge/fleet/store_objects.h"
#include <map>
#include <optional>
#include <set>

namespace zinnialedge::fleet {

struct mirror_settings {
    /// Delay between a watch reply with changes and the next watch request, so that changes arrive in batches.
    std::chrono::milliseconds batchDelay { 100 };
    /// Time from a failed request to the first retry; it doubles with each further failure.
    std::chrono::milliseconds firstRetryDelay { 100 };
    std::chrono::milliseconds maximumRetryDelay { 1500 };
    /// Maximum retry delay until the first complete listing, before which nothing can be served.
    std::chrono::milliseconds maximumStartRetryDelay { 300 };
    /// Duration below which an outage of the store causes no registration to expire.
    std::chrono::milliseconds shortOutageLimit { 1500 };
    /// Time after an outage within which daemons and leafs renew registrations that expired during the outage.
    std::chrono::milliseconds renewalPeriod { 2300 };
    /// Approximate interval between listings of rarely needed objects, which are then never watched.
    std::optional<std::chrono::milliseconds> relistInterval {};
    /// Maximum random delay of the listing that follows a return of the store, so that the daemons do not list at once.
    std::chrono::milliseconds returnSpread { 200 };
    /// Time after a return of the store for which an object that had been removed before is ignored, unless the object changes.
    /// Its process may have ended after the store's copy was made; an ended process does not renew the object.
    std::chrono::milliseconds restoredObjectHold { 0 };
    /// Whether what another daemon has read up to a later position replaces the local objects completely, removals included. Suits
    /// objects that do not expire, so that an object that the other daemon lacks has been removed.
    bool adoptsCompletely { false };
};

/// Next request to the store.
struct mirror_request {
    /// True to list the objects after the name `after`; false to watch for changes since `revision`.
    bool isListing { true };
    std::string after;
    std::uint64_t revision { 0 };
    /// Whether stale data is acceptable, which the store serves at a lower cost.
    bool isStaleAllowed { false };

    bool operator==(mirror_request const&) const = default;
};

/// Local copy of all store objects of one kind. The objects are first listed in pages and then updated by watching the store.
/// Does no I/O.
class object_mirror {
public:
    object_mirror(mirror_settings, kernel::random_hook);

    /// Returns the request to send now, or nothing before nextRequestTime().
    std::optional<mirror_request> nextRequest(kernel::time_point now);
    kernel::time_point nextRequestTime() const { return m_nextRequestAt; }

    void handlePage(object_page const&, kernel::time_point now);
    void handleChanges(change_page const&, kernel::time_point now);
    /// Restarts with a listing because the store no longer has the history that the watch needs.
    void handleHistoryGone(std::optional<std::uint64_t> era, kernel::time_point now);
    /// Schedules a retry after a missing reply or a reply that asks for a retry later.
    void handleFailure(kernel::time_point now);
    /// Merges objects that another daemon has read from the store up to `position`. Does nothing unless `position` is later than
    /// the local position; otherwise also schedules a new listing, unless the settings say that the objects are complete. Returns true
    /// when an object changed.
    bool adopt(std::vector<store_object> const&, store_position position, kernel::time_point now);
    /// Takes over the objects as a reader has them, with the removals and delays that the reader has decided on. `objects` has all
    /// objects when `isComplete` is true, and the changed ones otherwise. `isSettled` is false while the reader defers changes. Does
    /// nothing when `position` is earlier than the local one. Returns whether the state was taken.
    bool replicate(std::map<std::string, store_object> const& objects, std::vector<std::string> const& removed, bool isComplete, store_position position, bool isSettled, kernel::time_point now);
    /// Stops reading the store until resume(). No requests may be sent in between.
    void suspend();
    /// Continues reading the store. `isStoreLost` tells that other daemons have lost the store, so that registrations may expire.
    void resume(bool isStoreLost, kernel::time_point now);
    /// Returns whether no change is deferred.
    bool isSettled() const { return m_deferredRemovals.empty() && m_heldObjects.empty(); }
    /// Restarts with a listing when the store has begun a later era. The objects of the earlier era are kept until the listing
    /// has replaced or removed them. Returns false when the era is not later or when nothing has been read before.
    bool enterEra(std::uint64_t era, kernel::time_point now);

    /// Performs the changes that were deferred because of an outage or a return of the store. Returns true when there were
    /// deferred changes.
    bool performDeferredChanges(kernel::time_point now);
    /// Returns the next time at which performDeferredChanges() performs deferred changes.
    std::optional<kernel::time_point> deferredChangeTime() const;

    std::map<std::string, store_object> const& objects() const { return m_objects; }
    /// Returns the store's position up to which the mirror is current. The position stays in the earlier era until a listing of
    /// a new era is complete.
    store_position position() const { return m_position; }
    std::uint64_t asOf() const { return m_position.revision; }
    /// Returns the latest known era of the store.
    std::uint64_t era() const { return m_era; }
    /// Returns whether the last request to the store got a reply.
    bool isConnected() const { return m_isConnected; }
    bool hasCompletedListing() const { return m_hasCompletedListing; }
    /// Returns a counter that increases with each change of the objects.
    std::uint64_t generation() const { return m_generation; }

private:
    /// Removed object of an earlier era.
    struct removed_object {
        std::int64_t startedAt { 0 };
        std::uint64_t era { 0 };
    };

    /// Object that is ignored until a time because the store's copy may have brought it back.
    struct held_object {
        store_object object;
        kernel::time_point heldUntil;
    };

    /// Records that the store replied, and defers removals after a long outage.
    void recordReply(kernel::time_point now);
    /// Returns whether a reply belongs to the current era. A reply of a later era begins that era; a reply of an earlier era was
    /// sent before the store returned and causes a new request.
    bool isCurrentReply(std::optional<std::uint64_t> era, kernel::time_point now);
    void remove(std::string const& name, kernel::time_point now);
    /// Removes the objects without one of the names, and of these only those up to the position `latest`, if it is given.
    void removeOthers(std::set<std::string> const& names, std::optional<store_position> latest, kernel::time_point now);
    void put(store_object);
    void forget(std::string const& name);
    /// Returns whether the object must be ignored for now. `isListed` is false for a change that a watch reported.
    bool holdIfRestored(store_object const&, bool isListed, kernel::time_point now);
    void finishListing(kernel::time_point now);
    kernel::duration randomDelay(std::chrono::milliseconds maximum);

    mirror_settings m_settings;
    kernel::random_hook m_random;
    std::map<std::string, store_object> m_objects;
    std::set<std::string> m_deferredRemovals;
    std::set<std::string> m_listedNames;
    std::string m_listCursor;
    std::map<std::string, removed_object> m_removedObjects;
    std::map<std::string, held_object> m_heldObjects;
    std::uint64_t m_era { 0 };
    store_position m_position;
    std::uint64_t m_listAsOf { 0 };
    std::uint64_t m_generation { 0 };
    kernel::time_point m_nextRequestAt;
    /// Whether the store has refused the last watch.
    bool m_isWatchRefused { false };
    /// Time at which the last listing was complete.
    std::optional<kernel::time_point> m_listedAt;
    /// Time at which the last request was sent.
    std::optional<kernel::time_point> m_requestedAt;
    std::optional<kernel::time_point> m_outageBeganAt;
    std::optional<kernel::time_point> m_removalsDeferredUntil;
    unsigned m_consecutiveFailures { 0 };
    bool m_isListing { true };
    bool m_hasCompletedListing { false };
    bool m_isConnected { false };
};

}

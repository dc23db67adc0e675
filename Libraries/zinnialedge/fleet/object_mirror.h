#pragma once

#include "Kernel/clock.h"
#include "Libraries/zinnialedge/fleet/store_objects.h"
#include <map>
#include <optional>
#include <set>

namespace zinnialedge::fleet {

struct mirror_settings {
    /// Between an answer of a watch and the next one, so that changes come in batches.
    std::chrono::milliseconds batchPause { 100 };
    std::chrono::milliseconds firstRetry { 100 };
    std::chrono::milliseconds longestRetry { 1500 };
    /// As long as nothing was ever listed, and nothing can be served.
    std::chrono::milliseconds longestStartRetry { 300 };
    /// A shorter outage lets no registration lapse.
    std::chrono::milliseconds shortOutage { 1500 };
    /// Registrations that lapsed during an outage are back within this time after it.
    std::chrono::milliseconds returnWait { 2300 };
    /// For objects that are needed rarely: listed again after about this time, and never watched.
    std::optional<std::chrono::milliseconds> relistInterval;
};

/// The next call to the store.
struct mirror_request {
    /// List the objects behind `after`, or else watch from `revision`.
    bool isList { true };
    std::string after;
    std::uint64_t revision { 0 };
    /// Older data will do, which the store gives at a lower price.
    bool mayBeStale { false };

    bool operator==(mirror_request const&) const = default;
};

/// A copy of all objects of one kind: listed in pages, then kept up by watching. No I/O.
class object_mirror {
public:
    object_mirror(mirror_settings, kernel::random_hook);

    /// The call to make now, or nothing before nextTime().
    std::optional<mirror_request> nextRequest(kernel::time_point now);
    kernel::time_point nextTime() const { return m_nextAt; }

    void handlePage(object_page const&, kernel::time_point now);
    void handleChanges(change_page const&, kernel::time_point now);
    /// The store has dropped the history that a watch needs.
    void handleHistoryGone(kernel::time_point now);
    /// No answer, or one that says to come again later.
    void handleFailure(kernel::time_point now);
    /// Takes over what another daemon has read, where it is newer.
    bool adopt(std::vector<store_object> const&, std::uint64_t asOf);

    /// Removes what an outage has put off. True when something was removed.
    bool endOutage(kernel::time_point now);
    /// When endOutage() has something to do.
    std::optional<kernel::time_point> outageEnd() const;

    std::map<std::string, store_object> const& objects() const { return m_objects; }
    std::uint64_t asOf() const { return m_asOf; }
    /// True while the store answers.
    bool isConnected() const { return m_isConnected; }
    bool hasListed() const { return m_hasListed; }
    /// Rises with each change of the objects.
    std::uint64_t generation() const { return m_generation; }

private:
    void noteAnswer(kernel::time_point now);
    void remove(std::string const& name, kernel::time_point now);
    void put(store_object const&);
    void finishListing(kernel::time_point now);

    mirror_settings m_settings;
    kernel::random_hook m_random;
    std::map<std::string, store_object> m_objects;
    std::set<std::string> m_missing;
    std::set<std::string> m_listed;
    std::string m_listAfter;
    std::uint64_t m_asOf { 0 };
    std::uint64_t m_listAsOf { 0 };
    std::uint64_t m_generation { 0 };
    kernel::time_point m_nextAt;
    std::optional<kernel::time_point> m_outageBegan;
    std::optional<kernel::time_point> m_removalsHeldUntil;
    unsigned m_failuresInARow { 0 };
    bool m_isListing { true };
    bool m_hasListed { false };
    bool m_isConnected { false };
};

}

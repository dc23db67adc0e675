#pragma once

#include "Kernel/clock.h"
#include "Libraries/zinnialedge/fleet/directory_choice.h"
#include <map>
#include <optional>
#include <set>

namespace zinnialedge::fleet {

/// Number of live daemons in a data centre up to which each of them reads the store. Each call to the store has a price. Up to here, two
/// readers and their subscribers would save too few calls for the longer way of a change.
inline constexpr std::size_t maximumReadersPerDataCentre = 3;

/// Time for which a reader may hold a poll without news.
inline constexpr std::chrono::milliseconds pollHoldTime { 1000 };
/// Time after which a poll of the current reader without a reply counts as the loss of the reader.
inline constexpr std::chrono::milliseconds readerTimeout { 2000 };
/// Time limit of a first poll to another daemon, which is answered at once, with all objects. Shorter than `readerTimeout`, because a
/// subscriber without a reader must find one within the seconds in which a configuration has to take effect.
inline constexpr std::chrono::milliseconds searchTimeout { 1000 };
/// The same after the start of this daemon. Longer, because many daemons may ask a weak one at once, and a repeated poll costs its link
/// the same bytes again.
inline constexpr std::chrono::milliseconds startTimeout { 1500 };

enum class store_role {
    /// Lists and watches the store.
    reader,
    /// Gets the store's objects from a reader.
    subscriber,
};

char const* toString(store_role);

struct role_settings {
    std::string name;
    std::string dataCentre;
    /// Endpoint of this daemon for messages between daemons.
    model::endpoint place;
    /// Daemons to ask while no member is known.
    std::vector<model::endpoint> seeds;
};

/// What a daemon that was polled says about itself.
struct reader_state {
    /// False for a subscriber, and for a daemon of an earlier version, which does not hold polls.
    bool readsStore { false };
    bool isStoreReached { false };
    /// Whether the daemon's role is that of a reader. Otherwise it reads the store only until it finds a reader.
    bool isReader { false };
    /// Whether a reader without the store gets what changes from a daemon that reaches it, or is about to.
    bool hasSource { false };
    /// False for a daemon of an earlier version.
    bool holdsPolls { true };

    auto operator<=>(reader_state const&) const = default;
};

/// Next poll of another daemon.
struct reader_poll {
    model::endpoint place;
    /// Time for which the daemon may hold the poll; zero for a daemon that is not the reader yet.
    std::chrono::milliseconds holdTime { 0 };
    std::chrono::milliseconds timeout { searchTimeout };

    auto operator<=>(reader_poll const&) const = default;
};

struct role_counters {
    std::uint64_t roleChangeCount { 0 };
    std::uint64_t readerChangeCount { 0 };
    /// Number of times that this subscriber began to read the store itself.
    std::uint64_t ownReadingCount { 0 };
};

/// Decides whether this daemon reads the store, and which reader it polls otherwise. In a data centre with many daemons, only the
/// serving group's members read the store. All daemons that know the same members choose the same readers. Does no I/O.
///
/// A daemon starts as a subscriber without a reader. It reads the store itself when it finds no reader in time.
class store_roles {
public:
    store_roles(role_settings, kernel::random_hook);

    /// Sets the time from which this daemon reads the store itself. It is random, and later the more daemons may start at once.
    void start(kernel::time_point now);
    /// Sets the live daemons that are not leaving, including this one. `place` is the endpoint for messages between daemons.
    void setDaemons(std::vector<serving_daemon>, kernel::time_point now);
    /// Sets whether this daemon reads the store and has lost it. It then polls a daemon that reaches the store and reads on.
    void setStoreLost(bool isStoreLost, kernel::time_point now);
    void setSeeds(std::vector<model::endpoint> seeds) { m_settings.seeds = std::move(seeds); }
    /// Performs the changes that are due.
    void advance(kernel::time_point now);
    /// Returns the time of the next change or poll, which may be due already; nothing while a poll is open and no change is to come.
    std::optional<kernel::time_point> nextTime() const;

    /// Returns the poll to send now, if any. Each poll must be followed by handleAnswer() or handleFailure() before the next one.
    std::optional<reader_poll> takePoll(kernel::time_point now);
    void handleAnswer(model::endpoint const&, reader_state, kernel::time_point now);
    void handleFailure(model::endpoint const&, kernel::time_point now);

    store_role role() const { return m_role; }
    /// Returns whether this daemon reads the store now: as a reader, or as a subscriber without a reader.
    bool readsStore() const { return m_role == store_role::reader || m_readsInstead; }
    /// Returns whether a reader has said that the store is away since this daemon lost its reader.
    bool hasHeardOfOutage() const { return m_hasHeardOfOutage; }
    bool isStoreLost() const { return m_isStoreLost; }
    /// Returns the daemon that supplies what changes: the reader of a subscriber, or the source of a daemon that has lost the store.
    std::optional<model::endpoint> const& reader() const { return m_reader; }
    /// Returns whether the daemon with this name reads the store, as far as membership tells.
    bool isReader(std::string const& name) const { return m_readerNames.contains(name); }
    std::size_t localDaemonCount() const { return m_localDaemonCount; }
    role_counters const& counters() const { return m_counters; }

private:
    bool shouldRead() const { return isReader(m_settings.name); }
    bool seeksSource() const { return m_isStoreLost && readsStore(); }
    bool mayPoll() const { return seeksSource() || (m_role == store_role::subscriber && !(shouldRead() && m_readsInstead)); }
    std::optional<reader_poll> takeHeldPoll(kernel::time_point now);
    void endPoll(kernel::time_point now);
    void changeRole(store_role, kernel::time_point now);
    void loseReader(kernel::time_point now);
    void finishRound(kernel::time_point now);
    std::optional<model::endpoint> takeCandidate(kernel::time_point now);
    std::vector<model::endpoint> listCandidates() const;
    std::vector<model::endpoint> listSeeds() const;
    bool isLocalReader(model::endpoint const&) const;
    kernel::duration randomDelay(std::chrono::milliseconds maximum);

    role_settings m_settings;
    kernel::random_hook m_random;
    store_role m_role { store_role::subscriber };
    std::set<std::string> m_readerNames;
    /// Readers of the own data centre, then the daemons there that replace lost readers first, then readers of other data centres.
    std::vector<serving_daemon> m_localReaders;
    std::vector<serving_daemon> m_substitutes;
    std::vector<serving_daemon> m_remoteReaders;
    std::size_t m_localDaemonCount { 0 };
    std::set<model::endpoint> m_places;
    std::optional<kernel::time_point> m_roleChangeAt;
    std::optional<model::endpoint> m_reader;
    std::optional<model::endpoint> m_polled;
    /// Time before which no poll follows the last one.
    kernel::time_point m_nextPollAt;
    std::size_t m_nextCandidate { 0 };
    std::size_t m_nextHeldCandidate { 0 };
    /// Number of held polls that are left before the next round to all candidates.
    std::size_t m_heldPollsLeft { 0 };
    kernel::time_point m_nextRoundAt;
    std::map<model::endpoint, kernel::time_point> m_avoidedUntil;
    /// Time from which a subscriber without a reader reads the store itself.
    std::optional<kernel::time_point> m_ownReadingAt;
    /// Time of the next attempt to find a reader in the own data centre.
    kernel::time_point m_homeCheckAt;
    bool m_readsInstead { false };
    bool m_isStoreLost { false };
    bool m_isStarting { true };
    bool m_hasHeardOfOutage { false };
    role_counters m_counters;
};

}

#include "Libraries/zinnialedge/fleet/store_roles.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace zinnialedge::fleet {

using kernel::time_point;

/// Time for which membership must show another role before this daemon changes its role. Members come and go in groups when VMs are
/// replaced, and each change costs calls to the store.
static constexpr std::chrono::milliseconds roleChangeDelay { 3000 };
/// Pause after a poll. It bounds the polls of a subscriber whose reader always has news.
static constexpr std::chrono::milliseconds pollPause { 50 };
/// Time between two rounds of polls to all candidates.
static constexpr std::chrono::milliseconds searchInterval { 300 };
/// Time per possible daemon over which the daemons that start together begin to read the store, unless they find a reader.
static constexpr std::chrono::milliseconds startSpreadPerDaemon { 30 };
static constexpr std::chrono::milliseconds maximumStartSpread { 3000 };
/// Number of daemons, by the hash of the seeds, that read the store at once when they start: one in `daemonsPerFirstReader`, so that none has
/// to send all objects to too many others over its link, and at least two, since one may be down.
static constexpr std::size_t minimumFirstReaders = 2;
static constexpr std::size_t daemonsPerFirstReader = 16;
/// Time from the loss of the reader until this daemon reads the store itself, even if candidates have not answered. Together with
/// `readerTimeout` and the random part it stays below 4 s, so that a configuration still takes effect within 5 s.
static constexpr std::chrono::milliseconds searchTime { 800 };
/// Largest random delay before a subscriber that has asked all candidates reads the store itself. The substitutes come first, so that the
/// others find them as readers.
static constexpr std::chrono::milliseconds substituteSpread { 100 };
static constexpr std::chrono::milliseconds othersDelay { 500 };
static constexpr std::chrono::milliseconds othersSpread { 500 };
/// Time for which a daemon that has not answered is not asked again.
static constexpr std::chrono::milliseconds failureAvoidanceTime { 1000 };
/// Time for which a daemon that is no usable reader is not asked again. Shorter than `searchInterval`, so that a substitute is asked again in
/// the next round, before the others read the store.
static constexpr std::chrono::milliseconds avoidanceTime { 200 };
/// Daemons of an earlier version answer polls with a complete snapshot and become readers only when they are replaced.
static constexpr std::chrono::milliseconds earlierVersionAvoidanceTime { 30'000 };
/// The same for a daemon that has lost the store and needs what they know within the time in which a configuration takes effect.
static constexpr std::chrono::milliseconds earlierVersionSourceTime { 2000 };
/// While no candidate reaches the store, one of them at a time holds a poll, and after this many polls all are asked. Together with the
/// time limit this finds a source within 3 s, at the price of few messages between data centres.
static constexpr std::size_t heldPollsPerRound = 2;
static constexpr std::chrono::milliseconds heldSearchTimeout { 1500 };
/// Time after which a subscriber of a reader in another data centre looks for one in its own.
static constexpr std::chrono::milliseconds homeCheckInterval { 5000 };

char const* toString(store_role role)
{
    return role == store_role::reader ? "reader" : "subscriber";
}

static std::uint64_t hashOf(std::string const& text)
{
    return XXH3_64bits(text.data(), text.size());
}

store_roles::store_roles(role_settings settings, kernel::random_hook random)
    : m_settings(std::move(settings))
    , m_random(std::move(random))
{
    m_readerNames.insert(m_settings.name);
}

kernel::duration store_roles::randomDelay(std::chrono::milliseconds maximum)
{
    return std::chrono::milliseconds { m_random() % static_cast<std::uint64_t>(maximum.count() + 1) };
}

static std::vector<model::endpoint> orderedSeeds(std::vector<model::endpoint> seeds)
{
    std::sort(seeds.begin(), seeds.end(), [](auto const& left, auto const& right) { return hashOf(left.address) < hashOf(right.address); });
    seeds.erase(std::unique(seeds.begin(), seeds.end()), seeds.end());
    return seeds;
}

static std::size_t countFirstReaders(std::size_t daemonCount)
{
    return std::min(daemonCount, std::max(minimumFirstReaders, daemonCount / daemonsPerFirstReader));
}

std::vector<model::endpoint> store_roles::listSeeds() const
{
    auto places = m_settings.seeds;
    places.push_back(m_settings.place);
    places = orderedSeeds(std::move(places));
    // Each daemon begins with another one of the first readers.
    auto const firstCount = static_cast<std::ptrdiff_t>(countFirstReaders(places.size()));
    auto const offset = static_cast<std::ptrdiff_t>(hashOf(m_settings.name) % static_cast<std::uint64_t>(firstCount));
    std::rotate(places.begin(), places.begin() + offset, places.begin() + firstCount);
    std::erase(places, m_settings.place);
    return places;
}

void store_roles::start(time_point now)
{
    auto places = m_settings.seeds;
    places.push_back(m_settings.place);
    places = orderedSeeds(std::move(places));
    auto const rank = static_cast<std::size_t>(std::find(places.begin(), places.end(), m_settings.place) - places.begin());
    // Daemons start together with the VMs. Without members, all daemons with the same seeds choose the same first readers.
    auto const spread = std::min(startSpreadPerDaemon * static_cast<std::int64_t>(places.size()), maximumStartSpread);
    m_ownReadingAt = rank < countFirstReaders(places.size()) ? now : now + spread / 2 + randomDelay(spread / 2);
    m_nextRoundAt = now;
    advance(now);
}

void store_roles::setDaemons(std::vector<serving_daemon> daemons, time_point now)
{
    auto const isLocal = [this](serving_daemon const& each) { return each.dataCentre == m_settings.dataCentre; };
    std::map<std::string, std::size_t> counts;
    std::set<model::endpoint> places;
    for (auto const& each : daemons) {
        ++counts[each.dataCentre];
        places.insert(each.place);
    }
    bool const isReaderGone = std::any_of(m_localReaders.begin(), m_localReaders.end(), [&](auto const& each) { return !places.contains(each.place); });
    auto const group = chooseServingGroup(daemons);
    m_localDaemonCount = counts[m_settings.dataCentre];
    m_readerNames.clear();
    for (auto const& each : daemons) {
        if (counts[each.dataCentre] <= maximumReadersPerDataCentre)
            m_readerNames.insert(each.name);
    }
    for (auto const& each : group)
        m_readerNames.insert(each.name);
    m_localReaders.clear();
    m_remoteReaders.clear();
    for (auto const& each : group)
        (isLocal(each) ? m_localReaders : m_remoteReaders).push_back(each);
    std::erase_if(daemons, [&](auto const& each) { return !isLocal(each) || std::find(group.begin(), group.end(), each) != group.end(); });
    m_substitutes = chooseServingGroup(daemons);
    // A reader that was found through the seeds may not be known as a member yet.
    bool const isOwnReaderGone = m_reader && m_places.contains(*m_reader) && !places.contains(*m_reader);
    m_places = std::move(places);
    if (isOwnReaderGone)
        loseReader(now);
    // The data centre needs another reader now; other changes wait.
    if (isReaderGone && shouldRead() && m_role == store_role::subscriber && m_localDaemonCount > maximumReadersPerDataCentre)
        changeRole(store_role::reader, now);
    advance(now);
}

void store_roles::changeRole(store_role role, time_point now)
{
    m_role = role;
    m_roleChangeAt.reset();
    ++m_counters.roleChangeCount;
    m_isStarting = false;
    m_ownReadingAt.reset();
    m_reader.reset();
    // A former reader goes on reading until another reader has answered.
    m_readsInstead = role == store_role::subscriber;
    m_nextCandidate = 0;
    m_heldPollsLeft = 0;
    m_nextRoundAt = now;
}

void store_roles::setStoreLost(bool isStoreLost, time_point now)
{
    if (!readsStore() || std::exchange(m_isStoreLost, isStoreLost) == isStoreLost)
        return;
    m_reader.reset();
    m_nextCandidate = 0;
    m_heldPollsLeft = 0;
    m_nextRoundAt = now;
}

void store_roles::advance(time_point now)
{
    auto const dueRole = shouldRead() ? store_role::reader : store_role::subscriber;
    if (dueRole == m_role) {
        m_roleChangeAt.reset();
    } else if (!m_roleChangeAt) {
        m_roleChangeAt = now + roleChangeDelay;
    } else if (now >= *m_roleChangeAt) {
        changeRole(dueRole, now);
    }
    if (m_role == store_role::subscriber && !m_reader && !m_readsInstead && m_ownReadingAt && now >= *m_ownReadingAt) {
        m_readsInstead = true;
        m_isStoreLost = false;
        m_isStarting = false;
        ++m_counters.ownReadingCount;
    }
}

std::optional<time_point> store_roles::nextTime() const
{
    auto next = m_roleChangeAt;
    auto const consider = [&next](time_point time) { next = next ? std::min(*next, time) : time; };
    if (m_role == store_role::subscriber && !m_reader && !m_readsInstead && m_ownReadingAt)
        consider(*m_ownReadingAt);
    if (!m_polled && mayPoll())
        consider(m_reader ? m_nextPollAt : std::max(m_nextPollAt, m_nextRoundAt));
    return next;
}

// Polls.

bool store_roles::isLocalReader(model::endpoint const& place) const
{
    return std::any_of(m_localReaders.begin(), m_localReaders.end(), [&](auto const& each) { return each.place == place; });
}

std::vector<model::endpoint> store_roles::listCandidates() const
{
    std::vector<model::endpoint> candidates;
    // Each subscriber begins with another reader of a data centre, so that the readers have equal numbers of subscribers.
    auto const addRotated = [&](std::vector<serving_daemon> const& daemons) {
        auto const offset = daemons.empty() ? 0 : hashOf(m_settings.name) % daemons.size();
        for (std::size_t index = 0; index < daemons.size(); ++index)
            candidates.push_back(daemons[(index + offset) % daemons.size()].place);
    };
    addRotated(m_localReaders);
    // A substitute that reads the store is nearer than the readers of other data centres.
    addRotated(m_substitutes);
    addRotated(m_remoteReaders);
    std::erase(candidates, m_settings.place);
    if (!m_isStarting && !candidates.empty())
        return candidates;
    // After a start of all daemons the first of the seeds read the store; after a start of this daemon alone, those that membership tells.
    auto seeds = listSeeds();
    auto const firstCount = static_cast<std::ptrdiff_t>(std::min(countFirstReaders(seeds.size() + 1), seeds.size()));
    seeds.insert(seeds.begin() + firstCount, candidates.begin(), candidates.end());
    return seeds;
}

std::optional<model::endpoint> store_roles::takeCandidate(time_point now)
{
    std::erase_if(m_avoidedUntil, [&](auto const& entry) { return now >= entry.second; });
    auto const candidates = listCandidates();
    while (m_nextCandidate < candidates.size()) {
        auto const& candidate = candidates[m_nextCandidate++];
        if (!m_avoidedUntil.contains(candidate))
            return candidate;
    }
    return std::nullopt;
}

void store_roles::finishRound(time_point now)
{
    m_nextCandidate = 0;
    m_nextRoundAt = now + searchInterval;
    m_heldPollsLeft = seeksSource() ? heldPollsPerRound : 0;
    if (m_isStarting || readsStore())
        return;
    bool const isSubstitute = std::any_of(m_substitutes.begin(), m_substitutes.end(), [this](auto const& each) { return each.name == m_settings.name; });
    auto const ownReadingAt = isSubstitute || shouldRead() ? now + randomDelay(substituteSpread) : now + othersDelay + randomDelay(othersSpread);
    m_ownReadingAt = m_ownReadingAt ? std::min(*m_ownReadingAt, ownReadingAt) : ownReadingAt;
}

std::optional<reader_poll> store_roles::takeHeldPoll(time_point now)
{
    --m_heldPollsLeft;
    std::erase_if(m_avoidedUntil, [&](auto const& entry) { return now >= entry.second; });
    auto candidates = listCandidates();
    std::erase_if(candidates, [this](auto const& each) { return m_avoidedUntil.contains(each); });
    if (candidates.empty()) {
        m_nextRoundAt = now + searchInterval;
        return std::nullopt;
    }
    m_polled = candidates[m_nextHeldCandidate++ % candidates.size()];
    return reader_poll { *m_polled, pollHoldTime, heldSearchTimeout };
}

std::optional<reader_poll> store_roles::takePoll(time_point now)
{
    if (m_polled || !mayPoll() || now < m_nextPollAt)
        return std::nullopt;
    if (m_reader) {
        if (now >= m_homeCheckAt && !isLocalReader(*m_reader)) {
            m_homeCheckAt = now + homeCheckInterval;
            m_nextCandidate = 0;
            auto const candidate = takeCandidate(now);
            if (candidate && isLocalReader(*candidate)) {
                m_polled = candidate;
                return reader_poll { *candidate };
            }
        }
        m_polled = m_reader;
        return reader_poll { *m_reader, pollHoldTime, readerTimeout };
    }
    if (now < m_nextRoundAt)
        return std::nullopt;
    if (seeksSource() && m_heldPollsLeft > 0)
        return takeHeldPoll(now);
    m_polled = takeCandidate(now);
    if (m_polled)
        return reader_poll { *m_polled, std::chrono::milliseconds { 0 }, m_isStarting ? startTimeout : searchTimeout };
    finishRound(now);
    return std::nullopt;
}

void store_roles::endPoll(time_point now)
{
    m_polled.reset();
    m_nextPollAt = now + pollPause;
}

void store_roles::handleAnswer(model::endpoint const& place, reader_state state, time_point now)
{
    endPoll(now);
    if (m_role == store_role::reader && !m_isStoreLost)
        return;
    // A reader's source must reach the store itself, or two readers without the store could be each other's source.
    bool const isInformed = state.isStoreReached || (state.hasSource && !readsStore() && isLocalReader(place));
    if (!state.readsStore || !isInformed) {
        m_hasHeardOfOutage |= state.readsStore;
        auto const earlierVersionTime = seeksSource() ? earlierVersionSourceTime : earlierVersionAvoidanceTime;
        m_avoidedUntil[place] = now + (state.holdsPolls ? avoidanceTime : earlierVersionTime);
        if (m_reader == place)
            loseReader(now);
        return;
    }
    // Two subscribers that read the store themselves would otherwise stop for each other.
    if (m_readsInstead && !state.isReader && !m_isStoreLost) {
        m_avoidedUntil[place] = now + avoidanceTime;
        return;
    }
    if (m_reader != place) {
        m_reader = place;
        m_homeCheckAt = now + homeCheckInterval;
        ++m_counters.readerChangeCount;
    }
    if (seeksSource() && (m_role == store_role::reader || shouldRead() || !state.isReader))
        return;
    m_isStarting = false;
    m_readsInstead = false;
    m_isStoreLost = false;
    m_hasHeardOfOutage = false;
    m_ownReadingAt.reset();
}

void store_roles::handleFailure(model::endpoint const& place, time_point now)
{
    endPoll(now);
    m_avoidedUntil[place] = now + failureAvoidanceTime;
    if (m_reader == place)
        loseReader(now);
}

void store_roles::loseReader(time_point now)
{
    m_reader.reset();
    m_nextCandidate = 0;
    m_heldPollsLeft = 0;
    m_nextRoundAt = now;
    m_ownReadingAt = now + searchTime + randomDelay(othersSpread);
}

}

#include "Libraries/zinnialedge/fleet/object_mirror.h"

#include <algorithm>

namespace zinnialedge::fleet {

using kernel::time_point;

/// Number of removed objects that are remembered to recognize them after a return of the store.
static constexpr std::size_t maximumRemovedObjects = 4096;

object_mirror::object_mirror(mirror_settings settings, kernel::random_hook random)
    : m_settings(settings)
    , m_random(std::move(random))
{
}

std::optional<mirror_request> object_mirror::nextRequest(time_point now)
{
    if (now < m_nextRequestAt)
        return std::nullopt;
    m_requestedAt = now;
    return mirror_request { m_isListing, m_listCursor, m_position.revision, m_settings.relistInterval && m_hasCompletedListing };
}

void object_mirror::recordReply(time_point now)
{
    m_isConnected = true;
    m_consecutiveFailures = 0;
    if (!m_outageBeganAt)
        return;
    if (now - *m_outageBeganAt >= m_settings.shortOutageLimit)
        m_removalsDeferredUntil = now + m_settings.renewalPeriod;
    m_outageBeganAt.reset();
}

kernel::duration object_mirror::randomDelay(std::chrono::milliseconds maximum)
{
    return std::chrono::milliseconds { m_random() % static_cast<std::uint64_t>(maximum.count() + 1) };
}

bool object_mirror::enterEra(std::uint64_t era, time_point now)
{
    if (era <= m_era)
        return false;
    bool const isReturn = m_hasCompletedListing || !m_objects.empty();
    m_era = era;
    if (!isReturn)
        return false;
    // The revision of the watch belongs to the earlier era, so changes cannot be continued from it.
    m_isListing = true;
    m_listCursor.clear();
    m_nextRequestAt = now + randomDelay(m_settings.returnSpread);
    // Registrations that are newer than the store's copy are missing until their processes have renewed them.
    m_removalsDeferredUntil = std::max(m_removalsDeferredUntil.value_or(now), now + m_settings.renewalPeriod);
    return true;
}

bool object_mirror::isCurrentReply(std::optional<std::uint64_t> era, time_point now)
{
    if (!era || *era == m_era)
        return true;
    if (*era > m_era)
        return !enterEra(*era, now);
    m_nextRequestAt = now + m_settings.firstRetryDelay + randomDelay(m_settings.firstRetryDelay);
    return false;
}

bool object_mirror::holdIfRestored(store_object const& object, bool isListed, time_point now)
{
    auto const removed = m_removedObjects.find(object.name);
    bool const isRestored = removed != m_removedObjects.end() && removed->second.era < object.era && removed->second.startedAt == object.startedAt;
    if (!isRestored || m_settings.restoredObjectHold.count() == 0)
        return false;
    auto const held = m_heldObjects.find(object.name);
    bool const hasChanged = !isListed || (held != m_heldObjects.end() && held->second.object.position() < object.position());
    if (!hasChanged) {
        m_heldObjects.try_emplace(object.name, held_object { object, now + m_settings.restoredObjectHold });
        return true;
    }
    // An object that changes after the return describes a live process.
    m_removedObjects.erase(removed);
    m_heldObjects.erase(object.name);
    return false;
}

void object_mirror::put(store_object object)
{
    m_deferredRemovals.erase(object.name);
    auto& stored = m_objects[object.name];
    if (stored.position() >= object.position() && !stored.name.empty())
        return;
    stored = std::move(object);
    ++m_generation;
}

void object_mirror::remove(std::string const& name, time_point now)
{
    m_heldObjects.erase(name);
    auto const removed = m_objects.find(name);
    if (removed == m_objects.end())
        return;
    // An object without expiry that the store has shown in this era was removed by its writer.
    bool const isCertain = m_settings.adoptsCompletely && removed->second.era == m_era;
    if (!isCertain && m_removalsDeferredUntil && now < *m_removalsDeferredUntil) {
        m_deferredRemovals.insert(name);
        return;
    }
    forget(name);
}

void object_mirror::forget(std::string const& name)
{
    auto const removed = m_objects.find(name);
    if (removed == m_objects.end())
        return;
    if (m_removedObjects.size() >= maximumRemovedObjects)
        m_removedObjects.erase(m_removedObjects.begin());
    m_removedObjects[name] = { removed->second.startedAt, m_era };
    m_objects.erase(removed);
    m_deferredRemovals.erase(name);
    ++m_generation;
}

void object_mirror::removeOthers(std::set<std::string> const& names, std::optional<store_position> latest, time_point now)
{
    std::vector<std::string> removedNames;
    for (auto const& [name, object] : m_objects) {
        if (!names.contains(name) && (!latest || object.position() <= *latest))
            removedNames.push_back(name);
    }
    for (auto const& name : removedNames)
        remove(name, now);
}

void object_mirror::handlePage(object_page const& page, time_point now)
{
    recordReply(now);
    bool const isFirstPage = m_listCursor.empty();
    // A listing that spans a return of the store is repeated, but the first page of a listing is usable in any later era.
    if (!isCurrentReply(page.era, now) && !(isFirstPage && page.era == m_era))
        return;
    if (isFirstPage) {
        m_listedNames.clear();
        m_listAsOf = page.asOf;
    }
    for (auto object : page.objects) {
        object.era = m_era;
        m_listedNames.insert(object.name);
        if (!holdIfRestored(object, true, now))
            put(std::move(object));
    }
    m_nextRequestAt = now;
    if (page.hasMore && !page.objects.empty()) {
        m_listCursor = page.objects.back().name;
        return;
    }
    finishListing(now);
}

void object_mirror::finishListing(time_point now)
{
    store_position const listed { m_era, m_listAsOf };
    // An object that another daemon has read at a later position is not missing from the store.
    removeOthers(m_listedNames, m_settings.adoptsCompletely ? std::optional { listed } : std::nullopt, now);
    std::erase_if(m_heldObjects, [this](auto const& entry) { return !m_listedNames.contains(entry.first); });
    m_listCursor.clear();
    m_isListing = false;
    m_hasCompletedListing = true;
    m_listedAt = now;
    // Pages may show different revisions, so the watch starts at the revision of the first page. A change that a later page
    // already contains is harmless when the watch delivers the change again. A listing that is older than what another daemon has read
    // may have brought back objects, whose removal the watch then delivers.
    m_position = m_settings.adoptsCompletely ? listed : std::max(m_position, listed);
    if (!m_settings.relistInterval)
        return;
    // The delay is random between 0.5 and 1.5 times the interval, so that daemons that started together do not list together.
    m_isListing = true;
    m_nextRequestAt = now + *m_settings.relistInterval / 2 + randomDelay(*m_settings.relistInterval);
}

void object_mirror::handleChanges(change_page const& page, time_point now)
{
    recordReply(now);
    // While a listing is due, the watch began at a revision of an earlier era.
    if (!isCurrentReply(page.era, now) || m_isListing)
        return;
    if (m_settings.adoptsCompletely && store_position { m_era, page.asOf } < m_position) {
        // The changes lead to a state before the one that was adopted while the watch waited.
        m_isListing = true;
        m_nextRequestAt = now;
        return;
    }
    for (auto const& change : page.changes) {
        if (change.isRemoved) {
            remove(change.object.name, now);
            continue;
        }
        auto object = change.object;
        object.era = m_era;
        if (!holdIfRestored(object, false, now))
            put(std::move(object));
    }
    m_position = std::max(m_position, store_position { m_era, page.asOf });
    m_isWatchRefused = false;
    // A store that does not hold the watch must not be asked again at once.
    m_nextRequestAt = page.changes.empty() ? std::max<time_point>(now, m_requestedAt.value_or(now) + m_settings.firstRetryDelay) : now + m_settings.batchDelay;
}

void object_mirror::handleHistoryGone(std::optional<std::uint64_t> era, time_point now)
{
    recordReply(now);
    if (!isCurrentReply(era, now))
        return;
    m_isListing = true;
    m_listCursor.clear();
    // A store that refuses the revision of each of its listings must not be asked for another one at once.
    bool const isRefusedAgain = std::exchange(m_isWatchRefused, true) && m_listedAt;
    m_nextRequestAt = isRefusedAgain ? std::max<time_point>(now, *m_listedAt + m_settings.firstRetryDelay) : now;
}

void object_mirror::handleFailure(time_point now)
{
    m_isConnected = false;
    if (!m_outageBeganAt)
        m_outageBeganAt = now;
    auto const doublings = std::min(m_consecutiveFailures, 4U);
    ++m_consecutiveFailures;
    auto const maximumDelay = m_hasCompletedListing ? m_settings.maximumRetryDelay : m_settings.maximumStartRetryDelay;
    auto const delay = std::min(m_settings.firstRetryDelay * (1U << doublings), maximumDelay);
    // Half of the delay is random, so that daemons that lost the store at the same time do not retry at the same time. The time that the
    // request took counts as well: removals are deferred from the first reply on, so requests that hang must not find a returned store late.
    auto const randomized = [this](std::chrono::milliseconds longest) { return longest / 2 + randomDelay(longest / 2); };
    m_nextRequestAt = std::max<time_point>(now + randomized(std::min(delay, m_settings.firstRetryDelay)), m_requestedAt.value_or(now) + randomized(delay));
}

bool object_mirror::adopt(std::vector<store_object> const& objects, store_position position, time_point now)
{
    if (position <= m_position || position.era < m_era)
        return false;
    enterEra(position.era, now);
    auto const previousGeneration = m_generation;
    std::set<std::string> names;
    for (auto const& object : objects) {
        names.insert(object.name);
        if (!holdIfRestored(object, true, now))
            put(object);
    }
    if (m_settings.adoptsCompletely) {
        removeOthers(names, std::nullopt, now);
        m_position = position;
        return m_generation != previousGeneration;
    }
    for (auto const& [name, object] : m_objects) {
        if (!names.contains(name))
            m_deferredRemovals.insert(name);
    }
    // Objects that the other daemon lacks may have expired there only; a new listing of the store decides whether they are
    // removed.
    m_isListing = true;
    m_listCursor.clear();
    return m_generation != previousGeneration;
}

bool object_mirror::replicate(std::map<std::string, store_object> const& objects, std::vector<std::string> const& removed, bool isComplete, store_position position, bool isSettled, time_point now)
{
    if (position < m_position)
        return false;
    enterEra(position.era, now);
    for (auto const& [name, object] : objects)
        put(object);
    std::vector<std::string> absent = removed;
    if (isComplete) {
        for (auto const& [name, object] : m_objects) {
            if (!objects.contains(name))
                absent.push_back(name);
        }
        m_heldObjects.clear();
        m_deferredRemovals.clear();
    }
    for (auto const& name : absent)
        forget(name);
    m_position = position;
    m_hasCompletedListing = true;
    m_listCursor.clear();
    // A watch from the position would not report again what the reader has deferred, and revisions of an earlier era mean nothing in the
    // later one that the reader is still listing.
    m_isListing = !isSettled || position.era < m_era;
    return true;
}

void object_mirror::suspend()
{
    m_isConnected = false;
    m_outageBeganAt.reset();
    m_consecutiveFailures = 0;
    // Changes that were deferred would be lost; the objects of a reader, or the next listing, contain them.
    m_isListing |= !isSettled() || !m_listCursor.empty();
    m_listCursor.clear();
}

void object_mirror::resume(bool isStoreLost, time_point now)
{
    m_nextRequestAt = now;
    // This daemon cannot know how long the store has been away, so it assumes the duration that defers removals.
    if (isStoreLost)
        m_outageBeganAt = now - m_settings.shortOutageLimit;
    m_isListing |= m_settings.relistInterval.has_value();
}

bool object_mirror::performDeferredChanges(time_point now)
{
    bool hasChanges = false;
    if (m_removalsDeferredUntil && now >= *m_removalsDeferredUntil) {
        m_removalsDeferredUntil.reset();
        auto const missing = std::exchange(m_deferredRemovals, {});
        for (auto const& name : missing)
            remove(name, now);
        hasChanges = !missing.empty();
    }
    for (auto held = m_heldObjects.begin(); held != m_heldObjects.end();) {
        if (now < held->second.heldUntil) {
            ++held;
            continue;
        }
        // The store removes registrations that are not renewed, so an object that is still there belongs to a live process.
        m_removedObjects.erase(held->first);
        put(std::move(held->second.object));
        held = m_heldObjects.erase(held);
        hasChanges = true;
    }
    return hasChanges;
}

std::optional<time_point> object_mirror::deferredChangeTime() const
{
    auto next = m_removalsDeferredUntil;
    for (auto const& [name, held] : m_heldObjects)
        next = next ? std::min(*next, held.heldUntil) : held.heldUntil;
    return next;
}

}

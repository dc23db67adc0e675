#include "Libraries/zinnialedge/fleet/object_mirror.h"

#include <algorithm>

namespace zinnialedge::fleet {

using kernel::time_point;

object_mirror::object_mirror(mirror_settings settings, kernel::random_hook random)
    : m_settings(settings)
    , m_random(std::move(random))
{
}

std::optional<mirror_request> object_mirror::nextRequest(time_point now)
{
    if (now < m_nextRequestAt)
        return std::nullopt;
    return mirror_request { m_isListing, m_listCursor, m_asOf, m_settings.relistInterval && m_hasCompletedListing };
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

void object_mirror::put(store_object const& object)
{
    m_deferredRemovals.erase(object.name);
    auto& stored = m_objects[object.name];
    if (stored.revision >= object.revision && !stored.name.empty())
        return;
    stored = object;
    ++m_generation;
}

void object_mirror::remove(std::string const& name, time_point now)
{
    if (!m_objects.contains(name))
        return;
    if (m_removalsDeferredUntil && now < *m_removalsDeferredUntil) {
        m_deferredRemovals.insert(name);
        return;
    }
    m_objects.erase(name);
    m_deferredRemovals.erase(name);
    ++m_generation;
}

void object_mirror::handlePage(object_page const& page, time_point now)
{
    recordReply(now);
    if (m_listCursor.empty()) {
        m_listedNames.clear();
        m_listAsOf = page.asOf;
    }
    for (auto const& object : page.objects) {
        m_listedNames.insert(object.name);
        put(object);
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
    std::vector<std::string> removedNames;
    for (auto const& [name, object] : m_objects) {
        if (!m_listedNames.contains(name))
            removedNames.push_back(name);
    }
    for (auto const& name : removedNames)
        remove(name, now);
    m_listCursor.clear();
    m_isListing = false;
    m_hasCompletedListing = true;
    // Pages may show different revisions, so the watch starts at the revision of the first page. A change that a later page
    // already contains is harmless when the watch delivers the change again.
    m_asOf = std::max(m_asOf, m_listAsOf);
    if (!m_settings.relistInterval)
        return;
    // The delay is random between 0.5 and 1.5 times the interval, so that daemons that started together do not list together.
    m_isListing = true;
    auto const interval = static_cast<std::uint64_t>(m_settings.relistInterval->count());
    m_nextRequestAt = now + *m_settings.relistInterval / 2 + std::chrono::milliseconds { m_random() % (interval + 1) };
}

void object_mirror::handleChanges(change_page const& page, time_point now)
{
    recordReply(now);
    for (auto const& change : page.changes) {
        if (change.isRemoved)
            remove(change.object.name, now);
        else
            put(change.object);
    }
    m_asOf = std::max(m_asOf, page.asOf);
    m_nextRequestAt = now + (page.changes.empty() ? std::chrono::milliseconds { 0 } : m_settings.batchDelay);
}

void object_mirror::handleHistoryGone(time_point now)
{
    recordReply(now);
    m_isListing = true;
    m_listCursor.clear();
    m_nextRequestAt = now;
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
    // Half of the delay is random, so that daemons that lost the store at the same time do not retry at the same time.
    m_nextRequestAt = now + delay / 2 + std::chrono::milliseconds { m_random() % static_cast<std::uint64_t>(delay.count() / 2 + 1) };
}

bool object_mirror::adopt(std::vector<store_object> const& objects, std::uint64_t asOf)
{
    if (asOf <= m_asOf)
        return false;
    auto const previousGeneration = m_generation;
    std::set<std::string> names;
    for (auto const& object : objects) {
        names.insert(object.name);
        put(object);
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

bool object_mirror::performDeferredRemovals(time_point now)
{
    if (!m_removalsDeferredUntil || now < *m_removalsDeferredUntil)
        return false;
    m_removalsDeferredUntil.reset();
    auto const missing = std::exchange(m_deferredRemovals, {});
    for (auto const& name : missing)
        remove(name, now);
    return !missing.empty();
}

std::optional<time_point> object_mirror::deferredRemovalTime() const
{
    return m_removalsDeferredUntil;
}

}

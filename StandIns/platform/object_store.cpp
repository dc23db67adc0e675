#include "StandIns/platform/object_store.h"

namespace zinnialedge::stand_ins::platform {

static constexpr std::size_t maximumRetainedChanges = 10'000;

std::optional<std::uint64_t> object_store::write(std::string const& key, std::optional<std::string> body, write_precondition condition)
{
    auto const* existing = find(key);
    auto const currentVersion = existing ? existing->version : 0;
    if (condition && *condition != currentVersion)
        return std::nullopt;
    configuration::stored_object const changed { key, ++m_revision, std::move(body) };
    m_objects[key] = changed;
    m_retainedChanges.push_back(changed);
    if (m_retainedChanges.size() > maximumRetainedChanges)
        m_retainedChanges.pop_front();
    return m_revision;
}

configuration::stored_object const* object_store::find(std::string const& key) const
{
    auto const found = m_objects.find(key);
    return found == m_objects.end() || !found->second.body ? nullptr : &found->second;
}

wire::store_listing object_store::list(std::string const& prefix) const
{
    wire::store_listing listing;
    listing.revision = m_revision;
    for (auto each = m_objects.lower_bound(prefix); each != m_objects.end() && each->first.starts_with(prefix); ++each) {
        if (each->second.body)
            listing.objects.push_back(each->second);
    }
    return listing;
}

std::optional<wire::store_listing> object_store::changesAfter(std::uint64_t revision, std::string const& prefix) const
{
    if (revision > m_revision || (!m_retainedChanges.empty() && revision + 1 < m_retainedChanges.front().version))
        return std::nullopt;
    wire::store_listing listing;
    listing.revision = m_revision;
    for (auto const& change : m_retainedChanges) {
        if (change.version > revision && change.key.starts_with(prefix))
            listing.objects.push_back(change);
    }
    return listing;
}

}

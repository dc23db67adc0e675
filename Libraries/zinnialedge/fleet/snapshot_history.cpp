#include "Libraries/zinnialedge/fleet/snapshot_history.h"

namespace zinnialedge::fleet {

/// Number of removed objects that are kept in the history. About twice the number of leafs of a large deployment.
static constexpr std::size_t maximumRemovedObjects = 4096;

void snapshot_history::update(std::map<std::string, store_object> const& objects)
{
    auto const next = m_generation + 1;
    bool hasChanged = false;
    for (auto const& [name, object] : objects) {
        auto& recorded = m_recorded[name];
        if (recorded.generation != 0 && !recorded.isRemoved && recorded.position == object.position())
            continue;
        if (recorded.isRemoved)
            --m_removedCount;
        recorded = { object.position(), next, false };
        hasChanged = true;
    }
    if (m_recorded.size() - m_removedCount > objects.size()) {
        for (auto& [name, recorded] : m_recorded) {
            if (recorded.isRemoved || objects.contains(name))
                continue;
            recorded.isRemoved = true;
            recorded.generation = next;
            ++m_removedCount;
            hasChanged = true;
        }
    }
    if (hasChanged)
        m_generation = next;
    if (m_removedCount > maximumRemovedObjects)
        forgetRemovedObjects();
}

void snapshot_history::forgetRemovedObjects()
{
    std::erase_if(m_recorded, [](auto const& entry) { return entry.second.isRemoved; });
    m_removedCount = 0;
    m_forgottenGeneration = m_generation;
}

object_changes snapshot_history::changesSince(std::uint64_t generation, std::map<std::string, store_object> const& current) const
{
    if (generation < m_forgottenGeneration || generation > m_generation || generation == 0)
        return { true, current, {} };
    object_changes changes { .isComplete = false };
    for (auto const& [name, recorded] : m_recorded) {
        if (recorded.generation <= generation)
            continue;
        auto const object = current.find(name);
        if (object != current.end())
            changes.objects.emplace(*object);
        else
            changes.removed.push_back(name);
    }
    return changes;
}

snapshot_selection selectParts(snapshot_poll const& poll, snapshot_state const& state)
{
    snapshot_selection selection;
    selection.hasConfiguration = state.configurationVersion > poll.configurationVersion;
    bool const isUsableReader = state.readsStore && (state.isStoreReached || state.hasSource);
    for (auto const& [name, known] : poll.parts) {
        auto const found = state.parts.find(name);
        if (found == state.parts.end())
            continue;
        auto const& part = found->second;
        bool const isOwnHistory = poll.origin == state.incarnation && known.generation != 0;
        if (isOwnHistory && known.generation == part.generation)
            continue;
        if (isOwnHistory)
            selection.parts[name] = known.generation;
        else if (part.position > known.position || (isUsableReader && part.position == known.position))
            selection.parts[name] = std::nullopt;
    }
    bool const hasOtherStore = isUsableReader != poll.isStoreReached || state.storeEra > poll.storeEra;
    selection.isDue = selection.hasConfiguration || !selection.parts.empty() || hasOtherStore || poll.holdTime.count() == 0;
    return selection;
}

}

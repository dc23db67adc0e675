#pragma once

#include "Libraries/zinnialedge/fleet/store_objects.h"
#include <chrono>
#include <map>
#include <optional>

namespace zinnialedge::fleet {

/// Objects that a subscriber lacks.
struct object_changes {
    /// True when `objects` has all objects; false when it has those that have changed.
    bool isComplete { true };
    std::map<std::string, store_object> objects;
    std::vector<std::string> removed;
};

/// Records the order in which the objects of one kind have changed at this daemon, so that subscribers get only what has changed. The
/// generations count within this process. They do not depend on the store's positions, because two daemons at the same position
/// may differ: after an outage or a return of the store each one keeps removed objects for a while.
class snapshot_history {
public:
    /// Takes the current objects and records the differences from the previous ones.
    void update(std::map<std::string, store_object> const&);
    /// Returns the number of the last update with a difference.
    std::uint64_t generation() const { return m_generation; }
    /// Returns what has changed since the generation, out of the current objects, or all objects if the history does not reach back.
    object_changes changesSince(std::uint64_t generation, std::map<std::string, store_object> const& current) const;

private:
    struct recorded_object {
        store_position position;
        std::uint64_t generation { 0 };
        bool isRemoved { false };
    };

    void forgetRemovedObjects();

    std::map<std::string, recorded_object> m_recorded;
    /// Starts above zero, which means that no generation is known.
    std::uint64_t m_generation { 1 };
    /// Changes up to this generation may have been forgotten.
    std::uint64_t m_forgottenGeneration { 0 };
    std::size_t m_removedCount { 0 };
};

/// Position of a part of a snapshot: in the store, and in the history of the daemon that sent the part.
struct part_position {
    store_position position;
    std::uint64_t generation { 0 };

    auto operator<=>(part_position const&) const = default;
};

/// What a subscriber knows and believes when it polls.
struct snapshot_poll {
    /// Time for which the poll may be held without news.
    std::chrono::milliseconds holdTime { 0 };
    /// Incarnation of the daemon in whose history the generations count; zero for none.
    std::uint64_t origin { 0 };
    std::uint64_t configurationVersion { 0 };
    std::uint64_t storeEra { 0 };
    bool isStoreReached { false };
    /// Positions of the parts that the subscriber wants, other than the configuration, by the part's name.
    std::map<std::string, part_position> parts;

    auto operator<=>(snapshot_poll const&) const = default;
};

/// What the polled daemon has. Positions are those of its own history.
struct snapshot_state {
    std::uint64_t incarnation { 0 };
    std::uint64_t configurationVersion { 0 };
    std::uint64_t storeEra { 0 };
    bool readsStore { false };
    bool isStoreReached { false };
    /// Whether a daemon that reaches the store supplies a daemon that has lost it.
    bool hasSource { false };
    /// Parts of which the daemon has a complete state.
    std::map<std::string, part_position> parts;
};

/// Parts to send in answer to a poll.
struct snapshot_selection {
    bool hasConfiguration { false };
    /// Generation since which changes are sent, by the part's name; empty for the complete part.
    std::map<std::string, std::optional<std::uint64_t>> parts;
    /// Whether the answer is sent at once.
    bool isDue { false };
};

/// Compares what a subscriber knows with what this daemon has. Nothing that is older than what the subscriber knows is sent.
snapshot_selection selectParts(snapshot_poll const&, snapshot_state const&);

}

#pragma once

#include "Tests/Support/edge_fleet.h"
#include "Tests/Support/scripted_leaf.h"

namespace zinnialedge::tests {

/// Number of daemons and leafs of a fleet.
struct mortal_fleet_shape {
    std::size_t daemons { 1 };
    /// Number of leafs of the service "desk".
    std::size_t deskLeafs { 6 };
    /// Number of shards of the gather route; each has two leafs.
    std::size_t shards { 4 };
    bool isSingleRepeatable { false };
};

/// A fleet whose leafs end when they run a request that contains the mark. They come back after a second with another id.
class mortal_fleet : public edge_fleet {
public:
    static constexpr char const* mark = "poison";

    explicit mortal_fleet(mortal_fleet_shape);

    /// Registers the leafs that have ended and come back.
    void renewEndedLeafs();
    std::size_t endCount() const;
    /// Ends one leaf of the service "desk" or, if `index` is not below their number, of the shards.
    void endLeaf(std::size_t index) { m_leafs.at(index)->leaf.end(downTime); }
    void countMarkedFrom(std::chrono::steady_clock::time_point from) { m_countedFrom = from; }
    /// Returns the number of calls of marked requests that reached leafs in the counted time.
    std::size_t countedMarkedRequests() const;

private:
    struct mortal_leaf {
        std::string service;
        std::size_t registeredEndCount { 0 };
        std::string id;
        scripted_leaf leaf;
    };

    static constexpr std::chrono::milliseconds downTime { 1000 };
    static constexpr std::chrono::milliseconds runTime { 10 };

    void addLeaf(std::string const& service, std::size_t number);
    scripted_reply answer(std::string const& request);

    mutable std::mutex m_mutex;
    std::vector<std::chrono::steady_clock::time_point> m_markedArrivals;
    std::chrono::steady_clock::time_point m_countedFrom { std::chrono::steady_clock::time_point::max() };
    std::vector<std::unique_ptr<mortal_leaf>> m_leafs;
};

}

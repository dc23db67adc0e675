#pragma once

#include "Libraries/zinnialedge/model/endpoint.h"
#include <chrono>
#include <cstdint>
#include <string>

namespace zinnialedge::forwarding {

/// Registration of a leaf in the platform's store, written by the leaf.
struct leaf_registration {
    std::string id;
    /// Start time of this incarnation in Unix milliseconds. A known id with another start time denotes a new incarnation.
    std::int64_t startedAt { 0 };
    std::string service;
    model::endpoint place;
    std::string dataCentre;
    std::uint32_t slots { 1 };
    bool isDraining { false };
    /// Remaining warm-up time, during which the leaf is slower.
    std::chrono::milliseconds warmupLeft { 0 };
    /// Revision of the store's entry, by which an entry that was read again is told from a known one; zero when unknown.
    std::uint64_t revision { 0 };

    auto operator<=>(leaf_registration const&) const = default;
};

}

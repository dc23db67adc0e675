#pragma once

#include "Libraries/zinnialedge/model/endpoint.h"
#include <chrono>
#include <cstdint>
#include <string>

namespace zinnialedge::forwarding {

/// What a leaf says of itself in the platform's store.
struct leaf_registration {
    std::string id;
    /// When this incarnation started, in Unix milliseconds. The same id with another start is another leaf.
    std::int64_t startedAt { 0 };
    std::string service;
    model::endpoint place;
    std::string dataCentre;
    std::uint32_t slots { 1 };
    bool isDraining { false };
    /// How long it is still slow after its start.
    std::chrono::milliseconds warmupLeft { 0 };

    auto operator<=>(leaf_registration const&) const = default;
};

}

#pragma once

#include "Libraries/zinnialedge/model/endpoint.h"
#include <chrono>
#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace zinnialedge::utilities::load {

/// Requests of one kind that arrive at random at a constant mean rate.
struct load_stream {
    std::string service;
    std::string requestKind;
    double perSecond { 1 };
    /// Each request reads the shard of a key of its own.
    bool isKeyed { false };
    /// Each request carries a ticket of its own.
    bool isTicketed { false };
    /// Zero for the service's own deadline.
    std::chrono::milliseconds deadline { 0 };
};

struct load_plan {
    /// Daemons to ask for the addresses of a service.
    std::vector<model::endpoint> directory;
    /// The operators' ports of daemons whose counters show the calls to leafs.
    std::vector<model::endpoint> operators;
    std::vector<load_stream> streams;
    std::chrono::milliseconds duration { 5000 };
    /// Requests of this first part are sent and checked, but not measured.
    std::chrono::milliseconds warmUp { 1000 };
    std::uint64_t seed { 1 };
    std::string dataCentre;
};

tl::expected<load_plan, std::vector<std::string>> parseLoadPlan(std::string_view text);

}

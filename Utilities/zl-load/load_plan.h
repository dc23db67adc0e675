#pragma once

#include "Libraries/zinnialedge/model/endpoint.h"
#include <chrono>
#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace zinnialedge::utilities::load {

/// Requests of one kind that arrive at random times with a constant mean rate (a Poisson process).
struct load_stream {
    std::string service;
    std::string requestKind;
    double requestsPerSecond { 1 };
    /// True when each request carries a random key and reads only the shard of this key.
    bool isKeyed { false };
    /// True when each request carries a new ticket.
    bool isTicketed { false };
    /// Deadline of each request; zero selects the default deadline of the service.
    std::chrono::milliseconds deadline { 0 };
};

struct load_plan {
    /// Daemons that are queried for the addresses of each service.
    std::vector<model::endpoint> directory;
    /// Operators' ports of the daemons whose counters of leaf calls are read.
    std::vector<model::endpoint> operators;
    std::vector<load_stream> streams;
    std::chrono::milliseconds duration { 5000 };
    /// Warm-up time at the start of the run. Requests of this time are sent and checked, but not measured.
    std::chrono::milliseconds warmUpDuration { 1000 };
    std::uint64_t seed { 1 };
    std::string dataCentre;
};

tl::expected<load_plan, std::vector<std::string>> parseLoadPlan(std::string_view text);

}

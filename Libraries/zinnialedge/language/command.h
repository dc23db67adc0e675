#pragma once

#include "Libraries/zinnialedge/model/service_declaration.h"
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace zinnialedge::language {

/// Position of a statement or an error in the command text; lines and columns are numbered from one.
struct source_position {
    std::size_t line { 1 };
    std::size_t column { 1 };

    auto operator<=>(source_position const&) const = default;
};

/// Declares a service, or changes the fields that are set in an existing declaration.
struct declare_service {
    std::string service;
    std::optional<std::uint32_t> shardCount;
    std::optional<std::uint64_t> epoch;
    std::optional<model::coverage_policy> coverage;
    std::optional<std::chrono::milliseconds> deadline;
    std::optional<std::chrono::milliseconds> softDeadline;
    std::optional<std::uint32_t> minimumCoveragePercent;
    std::optional<std::uint32_t> maximumHedgePercent;
    std::optional<std::uint32_t> daemonGroupSize;

    bool operator==(declare_service const&) const = default;
};

struct remove_service {
    std::string service;

    bool operator==(remove_service const&) const = default;
};

/// Declares a request kind, or changes the marks that are set on an existing request kind.
struct mark_request {
    std::string service;
    std::string request;
    std::optional<bool> isUrgent;
    std::optional<bool> isRepeatable;
    std::optional<bool> isAllShardsQuery;

    bool operator==(mark_request const&) const = default;
};

/// Declares a target. The draining state of an existing target is kept.
struct declare_target {
    std::string service;
    std::string target;
    model::endpoint place;
    std::uint32_t shard { 0 };
    std::optional<std::uint32_t> slots;
    std::optional<std::uint32_t> connectionCap;

    bool operator==(declare_target const&) const = default;
};

struct remove_target {
    std::string service;
    std::string target;

    bool operator==(remove_target const&) const = default;
};

/// Starts or stops draining a target. A draining target completes its calls in flight and receives no new calls.
struct change_drain {
    std::string service;
    std::string target;
    bool isDraining { false };

    bool operator==(change_drain const&) const = default;
};

/// Share of every daemon that the issuing partner requests for a partner.
struct declare_share {
    std::string partner;
    std::uint32_t percent { 0 };

    bool operator==(declare_share const&) const = default;
};

enum class show_subject {
    services,
    targets,
    daemons,
};

/// Requests a list of the services, targets or daemons that are in effect.
struct show {
    show_subject kind { show_subject::services };
    /// Service whose targets are listed; empty for other lists.
    std::string service;
    /// State of the listed targets; empty for targets in any state.
    std::string state;

    bool operator==(show const&) const = default;
};

using command = std::variant<declare_service, remove_service, mark_request, declare_target, remove_target, change_drain, declare_share, show>;

struct statement {
    source_position position;
    language::command command;

    bool operator==(statement const&) const = default;
};

}

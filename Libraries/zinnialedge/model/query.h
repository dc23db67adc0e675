#pragma once

#include "Libraries/zinnialedge/errors/error_kind.h"
#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace zinnialedge::model {

/// The partition epoch and index version that one answer reflects.
struct snapshot {
    std::uint64_t epoch { 0 };
    std::uint64_t version { 0 };

    auto operator<=>(snapshot const&) const = default;
};

/// One hit of a search.
struct row {
    std::string key;
    std::string value;

    auto operator<=>(row const&) const = default;
};

/// What a caller asks.
struct query_request {
    std::string id;
    std::string service;
    std::string requestKind;
    std::string key;
    std::string body;
    std::string ticket;
    /// Zero for the service's own deadline.
    std::chrono::milliseconds deadline { 0 };
    /// True when another daemon passed it on; it is then never passed on again.
    bool isRelayed { false };

    bool operator==(query_request const&) const = default;
};

/// Why a shard is missing from an answer.
enum class missing_reason {
    deadline,
    no_leaf,
    overloaded,
    version_gone,
    repartitioned,
    failed,
};

std::string_view toString(missing_reason);

struct missing_shard {
    std::uint32_t shard { 0 };
    missing_reason reason { missing_reason::deadline };

    auto operator<=>(missing_shard const&) const = default;
};

/// How much of the index an answer reflects.
struct coverage {
    std::uint32_t asked { 0 };
    std::uint32_t answered { 0 };
    std::vector<missing_shard> missing;

    bool isWhole() const { return asked == answered; }
    bool operator==(coverage const&) const = default;
};

/// The merged answer to one request.
struct answer {
    std::string id;
    snapshot reflects;
    coverage covered;
    std::vector<row> rows;
    /// True when the answer was remembered from an earlier asking with the same ticket.
    bool isRemembered { false };
    /// True when the answering daemon can't know whether its configuration is still in force.
    bool isCutOff { false };

    bool operator==(answer const&) const = default;
};

using answer_or_error = errors::error_or<answer>;

}

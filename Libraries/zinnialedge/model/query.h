#pragma once

#include "Libraries/zinnialedge/errors/error_kind.h"
#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace zinnialedge::model {

/// Partition epoch and index version of the data in one answer. The epoch counts changes of the partition map; the version
/// counts states of the index.
struct snapshot {
    std::uint64_t epoch { 0 };
    std::uint64_t version { 0 };

    auto operator<=>(snapshot const&) const = default;
};

/// One search result.
struct row {
    std::string key;
    std::string value;

    auto operator<=>(row const&) const = default;
};

/// A query as sent by a caller.
struct query_request {
    std::string id;
    std::string service;
    std::string requestKind;
    std::string key;
    std::string body;
    std::string ticket;
    /// Time limit for the answer; zero selects the deadline in the service declaration.
    std::chrono::milliseconds deadline { 0 };
    /// True for a query that another daemon relayed to this daemon; a relayed query is never relayed again.
    bool isRelayed { false };

    bool operator==(query_request const&) const = default;
};

/// Reason for which a shard is missing from an answer.
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

/// Number of shards that an answer covers, and the shards that are missing.
struct coverage {
    std::uint32_t asked { 0 };
    std::uint32_t answered { 0 };
    std::vector<missing_shard> missing;

    bool isWhole() const { return asked == answered; }
    bool operator==(coverage const&) const = default;
};

/// Answer to one query, merged from the replies of all shards.
struct answer {
    std::string id;
    snapshot reflects;
    coverage covered;
    std::vector<row> rows;
    /// True for a retained answer to an earlier request with the same ticket.
    bool isRemembered { false };
    /// True when the answering daemon can't verify that its configuration is still in effect.
    bool isCutOff { false };

    bool operator==(answer const&) const = default;
};

using answer_or_error = errors::error_or<answer>;

}

#pragma once

#include "Libraries/zinnialedge/queries/events.h"
#include "Libraries/zinnialedge/wire/http_message.h"
#include <string>
#include <string_view>

namespace zinnialedge::wire {

/// The call as a leaf sees it.
struct leaf_call {
    std::string call;
    std::string requestKind;
    std::string key;
    std::string body;
    std::string ticket;
    std::uint32_t shard { 0 };
    model::snapshot pin;
    /// What is left when the call is sent.
    std::chrono::microseconds deadline { 0 };
    bool isUrgent { false };
};

/// POST /search.
http_request formatLeafCall(leaf_call const&);
/// Nothing when a field is missing or wrong.
std::optional<leaf_call> parseLeafCall(std::string_view body);

/// A leaf's reply to the call of that name. A reply that names another call is a failure.
queries::leaf_outcome parseLeafReply(http_response const&, std::string_view call);
std::string formatLeafAnswer(leaf_call const&, queries::leaf_status const&, std::vector<model::row> const&);
std::string formatLeafRefusal(leaf_call const&, queries::leaf_status const&, queries::leaf_refusal);

/// GET /status.
std::string formatLeafStatus(queries::leaf_status const&);
std::optional<queries::leaf_status> parseLeafStatus(std::string_view body);

std::string_view toString(queries::leaf_refusal);

}

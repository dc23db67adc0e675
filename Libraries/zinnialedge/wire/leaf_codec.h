#pragma once

#include "Libraries/zinnialedge/queries/events.h"
#include "Libraries/zinnialedge/wire/http_message.h"
#include <string>
#include <string_view>

namespace zinnialedge::wire {

/// A call from a daemon to a leaf, as it is sent on the wire.
struct leaf_call {
    std::string call;
    std::string requestKind;
    std::string key;
    std::string body;
    std::string ticket;
    std::uint32_t shard { 0 };
    model::snapshot pin;
    /// Time that remains until the deadline when the call is sent.
    std::chrono::microseconds deadline { 0 };
    bool isUrgent { false };
};

/// Returns the HTTP request POST /search for the call.
http_request formatLeafCall(leaf_call const&);
/// Returns no value when a mandatory field is missing or invalid.
std::optional<leaf_call> parseLeafCall(std::string_view body);

/// Parses the reply of a leaf to the call with the identifier `call`. A reply with the identifier of another call is
/// treated as a failure.
queries::leaf_outcome parseLeafReply(http_response const&, std::string_view call);
std::string formatLeafAnswer(leaf_call const&, queries::leaf_status const&, std::vector<model::row> const&);
std::string formatLeafRefusal(leaf_call const&, queries::leaf_status const&, queries::leaf_refusal);

/// Returns the response body of GET /status.
std::string formatLeafStatus(queries::leaf_status const&);
std::optional<queries::leaf_status> parseLeafStatus(std::string_view body);

std::string_view toString(queries::leaf_refusal);

}

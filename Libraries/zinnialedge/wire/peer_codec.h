#pragma once

#include "Libraries/zinnialedge/configuration/object_exchange.h"
#include "Libraries/zinnialedge/model/query.h"
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace zinnialedge::wire {

/// A message that one daemon sends to another over TCP.
struct peer_message {
    std::uint64_t call { 0 };
    std::variant<model::query_request, model::answer_or_error, configuration::stored_object, configuration::objects_request> content;
};

/// Returns the encoded message, preceded by its length.
std::string encodePeerMessage(peer_message const&);
/// Parses one message. `bytes` must not contain the length prefix.
errors::error_or<peer_message> decodePeerMessage(std::string_view bytes);

/// Size of the length prefix of a message.
inline constexpr std::size_t peerLengthPrefixBytes = 4;
inline constexpr std::size_t maximumPeerMessageBytes = 16 << 20;
std::size_t decodePeerMessageLength(std::string_view bytes);

}

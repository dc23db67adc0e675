#pragma once

#include "Libraries/zinnialedge/configuration/object_exchange.h"
#include "Libraries/zinnialedge/membership/directory.h"
#include "Libraries/zinnialedge/membership/membership_engine.h"
#include "Libraries/zinnialedge/queries/events.h"
#include <string>
#include <variant>

namespace zinnialedge::services::decisions {

/// A caller asks which daemons to use.
struct directory_asked {
    queries::caller_token caller { 0 };
    std::string service;
    std::string dataCentre;
};

struct directory_answered {
    queries::caller_token caller { 0 };
    errors::error_or<membership::directory_answer> result;
};

/// Whether the platform's store answers.
struct store_state_changed {
    bool isReachable { false };
    /// When the call was sent that it answered.
    kernel::time_point askedAt;
};

/// The store has taken a change that this daemon wrote.
struct object_accepted {
    configuration::stored_object object;
};

/// A query to be run by the daemon at that place.
struct relay_to_daemon {
    queries::caller_token caller { 0 };
    model::endpoint place;
    model::query_request request;
};

/// Tells another daemon of an object; its cache decides whether it is newer.
struct push_object {
    model::endpoint place;
    configuration::stored_object object;
};

/// Asks another daemon for objects that are newer.
struct ask_objects {
    model::endpoint place;
    configuration::objects_asked asked;
};

/// The daemon at that place is dead: what is in flight to it has no known outcome.
struct drop_peer {
    model::endpoint place;
};

using caller_event = std::variant<queries::query_arrived, queries::caller_left, directory_asked>;
using target_event = std::variant<queries::leaf_call_ended, queries::leaf_status_seen>;
using platform_event = std::variant<configuration::stored_object, object_accepted, store_state_changed>;
using peer_event = std::variant<queries::query_arrived, queries::relay_ended, configuration::stored_object, configuration::objects_asked, membership::datagram_received>;

using caller_action = std::variant<queries::answer_caller, directory_answered>;
using target_action = std::variant<queries::send_leaf_call, queries::cancel_leaf_call, queries::change_leaf_connections>;
using peer_action = std::variant<queries::answer_caller, relay_to_daemon, queries::abandon_relay, push_object, ask_objects, membership::send_datagram, drop_peer>;

/// Set in the tokens of queries that came from another daemon.
inline constexpr queries::caller_token peerTokenBit = 1ULL << 63U;

}

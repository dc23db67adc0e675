#pragma once

#include "Libraries/zinnialedge/configuration/object_exchange.h"
#include "Libraries/zinnialedge/membership/directory.h"
#include "Libraries/zinnialedge/membership/membership_engine.h"
#include "Libraries/zinnialedge/queries/events.h"
#include <set>
#include <string>
#include <variant>

namespace zinnialedge::services::decisions {

/// Request from a caller for the daemons that serve a service.
struct directory_request {
    queries::caller_token caller { 0 };
    std::string service;
    std::string dataCentre;
};

struct directory_response {
    queries::caller_token caller { 0 };
    errors::error_or<membership::directory_answer> result;
};

/// Reachability of the platform's store.
struct store_state_changed {
    bool isReachable { false };
    /// Time at which the call that determined the reachability was sent to the store.
    kernel::time_point calledAt;
};

/// Addresses of the VMs that must receive no new work according to the platform's VM list.
struct vms_withdrawn {
    std::set<std::string> addresses;
};

/// The store has accepted a write by this daemon.
struct object_accepted {
    configuration::stored_object object;
};

/// Relays a query to the daemon at the given endpoint.
struct relay_to_daemon {
    queries::caller_token caller { 0 };
    model::endpoint endpoint;
    model::query_request request;
};

/// Sends an object to another daemon; the receiver's cache keeps the object only if the object is newer.
struct push_object {
    model::endpoint endpoint;
    configuration::stored_object object;
};

/// Requests objects from another daemon that are newer than the objects on this daemon.
struct request_objects {
    model::endpoint endpoint;
    configuration::objects_request request;
};

/// Closes the connection to a dead daemon; queries in flight to the dead daemon end with an unknown outcome.
struct close_peer_connection {
    model::endpoint endpoint;
};

using caller_event = std::variant<queries::query_arrived, queries::caller_left, directory_request>;
using target_event = std::variant<queries::leaf_call_ended, queries::leaf_status_received>;
using platform_event = std::variant<configuration::stored_object, object_accepted, vms_withdrawn, store_state_changed>;
using peer_event = std::variant<queries::query_arrived, queries::relay_ended, configuration::stored_object, configuration::objects_request, membership::datagram_received>;

using caller_action = std::variant<queries::answer_caller, directory_response>;
using target_action = std::variant<queries::send_leaf_call, queries::cancel_leaf_call, queries::change_leaf_connections>;
using peer_action = std::variant<queries::answer_caller, relay_to_daemon, queries::abandon_relay, push_object, request_objects, membership::send_datagram, close_peer_connection>;

/// Bit that marks the tokens of queries from other daemons.
inline constexpr queries::caller_token peerTokenBit = 1ULL << 63U;

}

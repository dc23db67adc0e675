#include "Libraries/zinnialedge/errors/error_kind.h"

#include "Kernel/verify.h"
#include <array>

namespace zinnialedge::errors {

// One row per error_kind, in the order of the enumerators.
static constexpr std::array propertiesByKind {
    error_properties { "malformed_request", 400, execution_state::no, false, "The request is not valid JSON or has an invalid field." },
    error_properties { "request_too_large", 413, execution_state::no, false, "The body is larger than the limit." },
    error_properties { "unknown_route", 404, execution_state::no, false, "The daemon does not serve this path or method." },
    error_properties { "unknown_service", 404, execution_state::no, true, "No declaration of the service is in effect on this daemon." },
    error_properties { "unknown_request_kind", 400, execution_state::no, false, "The service declares no such request kind." },
    error_properties { "missing_key", 400, execution_state::no, false, "The request kind reads one shard and needs a key." },
    error_properties { "deadline_too_short", 503, execution_state::no, true, "The queueing delay would exceed the deadline." },
    error_properties { "deadline_out_of_range", 400, execution_state::no, false, "The deadline is not within the allowed range." },
    error_properties { "overloaded", 503, execution_state::no, true, "The daemon has no capacity left for the request." },
    error_properties { "over_share", 429, execution_state::no, true, "The partner has exhausted its share of the daemon." },
    error_properties { "no_live_target", 503, execution_state::no, true, "No leaf can take the request." },
    error_properties { "deadline_exceeded", 504, execution_state::maybe, true, "The deadline passed before any shard answered." },
    error_properties { "outcome_unknown", 502, execution_state::maybe, false, "A non-repeatable request was sent, but its outcome is unknown." },
    error_properties { "ticket_required", 428, execution_state::no, false, "The request kind is not repeatable and needs a ticket." },
    error_properties { "ticket_expired", 410, execution_state::no, true, "The ticket has expired; request a new ticket prefix from the directory." },
    error_properties { "ticket_memory_full", 503, execution_state::no, true, "The ticket table of the daemon is full." },
    error_properties { "not_in_group", 421, execution_state::no, true, "Another daemon serves the service, and that daemon could not be reached." },
    error_properties { "leaving", 503, execution_state::no, true, "The daemon is stopping and accepts no new requests." },
    error_properties { "cut_off", 503, execution_state::no, true, "The daemon receives messages from neither the store nor its peers." },
    error_properties { "store_unavailable", 503, execution_state::no, true, "The platform's store does not respond." },
    error_properties { "conflict", 409, execution_state::no, false, "Another operator changed the object in the meantime." },
    error_properties { "not_permitted", 403, execution_state::no, false, "The key does not authorize the command." },
    error_properties { "malformed_command", 400, execution_state::no, false, "The command has a syntax error." },
    error_properties { "not_configured", 503, execution_state::no, true, "The daemon has not loaded any configuration yet." },
    error_properties { "leaf_failed", 502, execution_state::maybe, true, "The request was sent to leafs, but no leaf returned a usable reply." },
    error_properties { "headers_too_large", 431, execution_state::no, false, "The headers are larger than the limit." },
    error_properties { "request_timeout", 408, execution_state::no, true, "The request did not arrive in time." },
    error_properties { "request_quarantined", 502, execution_state::maybe, false, "Leafs were lost while they ran this request. It may have run, and no leaf gets it for now." },
    error_properties { "internal", 500, execution_state::maybe, false, "Internal error caused by a bug; see the log of the daemon." },
    error_properties { "unknown_access_key", 401, execution_state::no, false, "The request needs a valid access key." },
    error_properties { "over_quota", 429, execution_state::no, true, "The tenant has exhausted its quota of requests." },
};

static_assert(propertiesByKind.size() == static_cast<std::size_t>(error_kind::over_quota) + 1);

error_properties const& propertiesOf(error_kind kind)
{
    auto const index = static_cast<std::size_t>(kind);
    VERIFY(index < propertiesByKind.size());
    return propertiesByKind[index];
}

std::optional<error_kind> parseErrorKind(std::string_view name)
{
    for (std::size_t index = 0; index < propertiesByKind.size(); ++index) {
        if (propertiesByKind[index].name == name)
            return static_cast<error_kind>(index);
    }
    return std::nullopt;
}

std::string_view toString(execution_state state)
{
    switch (state) {
    case execution_state::no:
        return "no";
    case execution_state::maybe:
        return "maybe";
    case execution_state::yes:
        return "yes";
    }
    VERIFY(false);
}

std::size_t errorKindCount()
{
    return propertiesByKind.size();
}

tl::unexpected<error> makeError(error_kind kind, std::string message)
{
    return tl::unexpected(error { kind, std::move(message), std::nullopt });
}

}

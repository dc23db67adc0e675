#include "Libraries/zinnialedge/errors/error_kind.h"

#include "Kernel/verify.h"
#include <array>

namespace zinnialedge::errors {

// One row for each kind, in the order of the enumeration.
static constexpr std::array answers {
    error_answer { "malformed_request", 400, run_state::no, false, "The request is not valid JSON or a field is wrong." },
    error_answer { "request_too_large", 413, run_state::no, false, "The body is larger than the limit." },
    error_answer { "unknown_route", 404, run_state::no, false, "There is no such path or method." },
    error_answer { "unknown_service", 404, run_state::no, true, "No declaration of that service is in force here." },
    error_answer { "unknown_request_kind", 400, run_state::no, false, "The service declares no such request kind." },
    error_answer { "missing_key", 400, run_state::no, false, "The request kind reads one shard and needs a key." },
    error_answer { "deadline_too_short", 503, run_state::no, true, "The backlog would outlast the deadline." },
    error_answer { "deadline_out_of_range", 400, run_state::no, false, "The deadline is not within the allowed range." },
    error_answer { "overloaded", 503, run_state::no, true, "The daemon has no room for the request." },
    error_answer { "over_share", 429, run_state::no, true, "The partner has used its share of the daemon." },
    error_answer { "no_live_target", 503, run_state::no, true, "No leaf can take the request." },
    error_answer { "deadline_exceeded", 504, run_state::maybe, true, "The deadline passed before any shard answered." },
    error_answer { "outcome_unknown", 502, run_state::maybe, false, "A request that must not be repeated was sent, but its outcome is not known." },
    error_answer { "ticket_required", 428, run_state::no, false, "The request kind is not repeatable and needs a ticket." },
    error_answer { "ticket_expired", 410, run_state::no, true, "The ticket has expired; ask the directory for a new prefix." },
    error_answer { "ticket_memory_full", 503, run_state::no, true, "The daemon can't remember another ticket now." },
    error_answer { "not_in_group", 421, run_state::no, true, "Another daemon serves the service and could not be reached." },
    error_answer { "leaving", 503, run_state::no, true, "The daemon is stopping and takes no new requests." },
    error_answer { "cut_off", 503, run_state::no, true, "The daemon hears neither the store nor its peers." },
    error_answer { "store_unavailable", 503, run_state::no, true, "The platform's store does not answer." },
    error_answer { "conflict", 409, run_state::no, false, "Another operator changed the same object first." },
    error_answer { "not_permitted", 403, run_state::no, false, "The key does not allow the command." },
    error_answer { "malformed_command", 400, run_state::no, false, "The command does not parse." },
    error_answer { "not_configured", 503, run_state::no, true, "This daemon has not read any configuration yet." },
    error_answer { "leaf_failed", 502, run_state::maybe, true, "The request was sent to leafs, and none gave a usable answer." },
    error_answer { "headers_too_large", 431, run_state::no, false, "The headers are larger than the limit." },
    error_answer { "request_timeout", 408, run_state::no, true, "The request did not arrive in time." },
    error_answer { "internal", 500, run_state::maybe, false, "A bug; the log has more." },
};

static_assert(answers.size() == static_cast<std::size_t>(error_kind::internal) + 1);

error_answer const& answerFor(error_kind kind)
{
    auto const index = static_cast<std::size_t>(kind);
    VERIFY(index < answers.size());
    return answers[index];
}

std::optional<error_kind> parseErrorKind(std::string_view name)
{
    for (std::size_t index = 0; index < answers.size(); ++index) {
        if (answers[index].name == name)
            return static_cast<error_kind>(index);
    }
    return std::nullopt;
}

std::string_view toString(run_state state)
{
    switch (state) {
    case run_state::no:
        return "no";
    case run_state::maybe:
        return "maybe";
    case run_state::yes:
        return "yes";
    }
    VERIFY(false);
}

std::size_t errorKindCount()
{
    return answers.size();
}

tl::unexpected<error> fail(error_kind kind, std::string message)
{
    return tl::unexpected(error { kind, std::move(message), std::nullopt });
}

}

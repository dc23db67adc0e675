#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace zinnialedge::errors {

/// Every kind of error that the daemon reports to a caller or an operator.
enum class error_kind {
    malformed_request,
    request_too_large,
    unknown_route,
    unknown_service,
    unknown_request_kind,
    missing_key,
    deadline_too_short,
    deadline_out_of_range,
    overloaded,
    over_share,
    no_live_target,
    deadline_exceeded,
    outcome_unknown,
    ticket_required,
    ticket_expired,
    ticket_memory_full,
    not_in_group,
    leaving,
    cut_off,
    store_unavailable,
    conflict,
    not_permitted,
    malformed_command,
    not_configured,
    leaf_failed,
    headers_too_large,
    request_timeout,
    request_quarantined,
    internal,
    unknown_access_key,
    over_quota,
};

/// Whether a target may have executed the request.
enum class execution_state {
    no,
    maybe,
    yes,
};

/// Error name, HTTP status and retry advice that a caller receives for an error kind.
struct error_properties {
    std::string_view name;
    int httpStatus;
    execution_state executionState;
    bool isRetryable;
    std::string_view description;
};

error_properties const& propertiesOf(error_kind);
std::optional<error_kind> parseErrorKind(std::string_view name);
std::string_view toString(execution_state);
/// Returns the number of error kinds; error kinds are numbered from zero.
std::size_t errorKindCount();

/// An error with a message and, if a retry can succeed, the delay before the retry.
struct error {
    error_kind kind { error_kind::internal };
    std::string message;
    std::optional<std::chrono::milliseconds> retryAfter;

    bool operator==(error const&) const = default;
};

template <typename T>
using error_or = tl::expected<T, error>;

tl::unexpected<error> makeError(error_kind, std::string message);

}

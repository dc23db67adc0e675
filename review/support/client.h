#pragma once

#include "review/support/record.h"
#include <string>

namespace review {

/// How a request ended, as its client saw it.
enum class outcome {
    answered,
    /// The connection ended before a complete answer.
    cut,
    /// No connection could be opened, or the request could not be written.
    not_sent,
    timed_out,
};

struct client_request {
    std::string attemptId;
    std::string machine;
    time_point sentAt {};
    time_point endedAt {};
    outcome end { outcome::not_sent };
    int status { 0 };
    std::string body {};
    std::string seal {};
};

/// Sends a request over the connection, which is opened if it isn't open, and waits for its answer until the deadline.
client_request send(connection& over, std::string const& machine, std::string const& method, std::string const& target, std::string const& attemptId, milliseconds deadline, std::string const& body, record& to);

char const* toString(outcome of);

}

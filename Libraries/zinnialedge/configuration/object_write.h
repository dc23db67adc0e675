#pragma once

#include "Kernel/clock.h"
#include "Libraries/zinnialedge/configuration/change_plan.h"
#include <optional>
#include <string>
#include <variant>

namespace zinnialedge::configuration {

/// Request to write one text's commands for one service object.
struct object_write_request {
    service_commands commands;
    std::string partner;
    /// Identity of the writing process: the daemon and its incarnation.
    std::string writer;
    /// Number that increases with each write of the process. A process has at most one write of an object in flight, so a higher
    /// number means a later write.
    std::uint64_t sequence { 0 };
    /// Newest version that this daemon knows; a read that returns an older version is stale.
    std::uint64_t knownVersion { 0 };
    kernel::time_point deadline;
};

// Actions that the state machine requests, one at a time.

struct read_object { };

struct write_object {
    std::string body;
    /// Version that the store must hold for the write to succeed; zero when the object must not exist.
    std::uint64_t expectedVersion { 0 };
};

struct retry_later {
    kernel::time_point at;
};

/// Result of a write after which the store holds the object in the wanted state.
struct accepted_write {
    /// Version that contains the change. After a lost reply, the version may be a later one.
    std::uint64_t version { 0 };
    /// Number of the change among all changes of the object, counted from one. Gives the order of accepted commands.
    std::uint64_t change { 0 };
    std::string body;
    /// Whether the commands changed the object.
    bool hasChangedObject { false };
};

struct write_finished {
    errors::error_or<accepted_write> result;
};

using write_action = std::variant<read_object, write_object, retry_later, write_finished>;

// Results of the actions.

enum class store_reply {
    done,
    /// The read found no object.
    absent,
    /// The write found a version other than the expected version.
    precondition_failed,
    /// The call may have taken effect or may still take effect.
    unknown,
    /// No byte of the call was sent, or the store reported that the call had no effect.
    no_effect,
};

struct read_result {
    store_reply reply { store_reply::no_effect };
    std::uint64_t version { 0 };
    std::string body;
};

struct write_result {
    store_reply reply { store_reply::no_effect };
    std::uint64_t version { 0 };
};

/// State machine that brings one object into the wanted state by conditional writes. After a lost reply, a read shows whether the
/// write took effect. The commands are reapplied to a newer version unless that version changed a field that the commands also
/// change.
class object_write {
public:
    object_write(object_write_request, kernel::random_hook);

    write_action start() { return read_object {}; }
    write_action handle(read_result const&, kernel::time_point now);
    write_action handle(write_result const&, kernel::time_point now);
    write_action handleTimer() { return read_object {}; }

private:
    /// Write that was sent to the store.
    struct attempt {
        std::uint64_t expectedVersion { 0 };
        std::uint64_t change { 0 };
        std::string body;
    };

    /// Returns a wait with exponential backoff, or an error when the next attempt would be past the deadline.
    write_action retryLater(kernel::time_point now);
    /// Determines from a read whether the last attempt took effect.
    write_action resolveAttempt(service_object const&, read_result const&);
    /// Applies the commands to the object and returns the write, if the object changes.
    write_action planWrite(service_object, std::uint64_t version);
    /// Returns an error when another operator has changed a field that the commands change to another value.
    std::optional<errors::error> findConflict(service_object const& current) const;
    write_action finishWithError(errors::error) const;

    object_write_request m_request;
    kernel::random_hook m_random;
    /// Object that the commands were first applied to.
    std::optional<service_object> m_baseObject;
    /// Field changes that the commands make to `m_baseObject`.
    std::vector<field_change> m_wantedChanges;
    /// Most recent write.
    attempt m_attempt;
    /// Whether an attempt has an unknown outcome: it may have taken effect or may still take effect.
    bool m_hasUnresolvedAttempt { false };
    unsigned m_failureCount { 0 };
};

}

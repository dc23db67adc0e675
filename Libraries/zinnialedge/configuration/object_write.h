#pragma once

#include "Kernel/clock.h"
#include "Libraries/zinnialedge/configuration/change_plan.h"
#include <optional>
#include <string>
#include <variant>

namespace zinnialedge::configuration {

/// One text's commands for one object, to be written by one process.
struct object_write_request {
    object_commands commands;
    std::string partner;
    /// The daemon and its incarnation.
    std::string writer;
    /// Grows with each write of that process. One process writes an object once at a time, so a higher one came later.
    std::uint64_t sequence { 0 };
    /// The newest version that this daemon knows; an older read is stale.
    std::uint64_t knownVersion { 0 };
    kernel::time_point deadline;
};

// What the machine asks for; one at a time.

struct read_object { };

struct write_object {
    std::string body;
    /// The version that must be there; zero when there must be none.
    std::uint64_t expectedVersion { 0 };
};

struct wait_until {
    kernel::time_point at;
};

/// The store holds the object as the commands want it.
struct accepted_write {
    /// The version that holds the change; a later one when the reply was lost.
    std::uint64_t version { 0 };
    /// Which change of the object it is, counted from one; gives the order of accepted commands.
    std::uint64_t change { 0 };
    std::string body;
    /// False when the commands changed nothing.
    bool isChanged { false };
};

struct write_settled {
    errors::error_or<accepted_write> result;
};

using write_action = std::variant<read_object, write_object, wait_until, write_settled>;

// What comes back.

enum class store_reply {
    done,
    /// For a read: there is no such object.
    absent,
    /// For a write: another version is there.
    precondition_failed,
    /// The call may have taken effect or may yet.
    unknown,
    /// No byte of the call was sent, or the store said that it did nothing.
    not_done,
};

struct read_result {
    store_reply reply { store_reply::not_done };
    std::uint64_t version { 0 };
    std::string body;
};

struct write_result {
    store_reply reply { store_reply::not_done };
    std::uint64_t version { 0 };
};

/// Brings one object into the wanted state by conditional writes. A lost reply is settled by reading back; a newer version
/// is merged unless it changed a field that the commands change too.
class object_write {
public:
    object_write(object_write_request, kernel::random_hook);

    write_action start() { return read_object {}; }
    write_action handle(read_result const&, kernel::time_point now);
    write_action handle(write_result const&, kernel::time_point now);
    write_action handleTimer() { return read_object {}; }

private:
    struct attempt {
        std::uint64_t expectedVersion { 0 };
        std::uint64_t change { 0 };
        std::string body;
    };

    write_action retryLater(kernel::time_point now);
    write_action settleAttempt(service_object const&, read_result const&);
    write_action planOn(service_object, std::uint64_t version);
    std::optional<errors::error> findConflict(service_object const& current) const;
    write_action refuse(errors::error) const;

    object_write_request m_request;
    kernel::random_hook m_random;
    /// What the object was when the command came.
    std::optional<service_object> m_base;
    /// What the commands want to change.
    std::vector<field_change> m_wanted;
    /// The last write.
    attempt m_attempt;
    /// True while an attempt may have taken effect, or may yet.
    bool m_isUnsettled { false };
    unsigned m_failures { 0 };
};

}

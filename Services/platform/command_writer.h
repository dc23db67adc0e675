#pragma once

#include "Libraries/zinnialedge/configuration/object_cache.h"
#include "Libraries/zinnialedge/configuration/object_write.h"
#include "Libraries/zinnialedge/wire/http_client.h"
#include <deque>
#include <functional>
#include <memory>

namespace zinnialedge::services::platform {

/// Result of the commands for one service.
struct command_result {
    std::string service;
    errors::error_or<configuration::accepted_write> outcome;
};

using command_receiver = std::function<void(std::vector<command_result>)>;

/// Functions that the owning service provides to a command writer.
struct command_writer_hooks {
    kernel::clock_hook clock;
    kernel::random_hook random;
    /// Sends one call to the store as soon as the call budget allows.
    std::function<void(wire::http_request, std::function<void(wire::http_result)>)> callStore;
    std::function<void(kernel::time_point, std::function<void()>)> schedule;
    /// Called when the store has accepted a change.
    std::function<void(configuration::stored_object)> changeAccepted;
    /// Returns the newest version of a service object that this daemon has seen.
    std::function<std::uint64_t(std::string const& service)> knownVersion;
};

/// Writes operators' commands to the store, one command text at a time. No service of a text is written until all commands
/// of the text have been validated.
class command_writer {
public:
    command_writer(std::string writerName, command_writer_hooks);

    /// Enqueues the commands of one text; calls `receive` once, with one result per service.
    void enqueue(std::vector<configuration::service_commands>, std::string const& partner, command_receiver receive);
    std::size_t queuedTextCount() const { return m_textQueue.size(); }

private:
    struct object_job {
        configuration::service_commands commands;
        std::optional<configuration::object_write> stateMachine;
        /// First write of the object, deferred until the writes for all services of the text are planned.
        std::optional<configuration::write_object> deferredWrite;
        std::optional<command_result> result;
    };

    struct command_text {
        std::string partner;
        kernel::time_point deadline;
        std::vector<object_job> objects;
        bool isWriting { false };
        command_receiver receive;
    };

    using command_text_handle = std::shared_ptr<command_text>;

    void startNextText();
    void performAction(command_text_handle const&, object_job&, configuration::write_action const&);
    void read(command_text_handle const&, object_job&);
    void write(command_text_handle const&, object_job&, configuration::write_object const&);
    void recordResult(command_text_handle const&, object_job&, errors::error_or<configuration::accepted_write> const&);
    void advanceText(command_text_handle const&);

    std::string m_writerName;
    command_writer_hooks m_hooks;
    std::deque<command_text_handle> m_textQueue;
    std::uint64_t m_lastSequenceNumber { 0 };
};

}

#pragma once

#include "Kernel/service_registry.h"
#include "Libraries/zinnialedge/configuration/partner_keys.h"
#include "Libraries/zinnialedge/language/command.h"
#include "Libraries/zinnialedge/wire/http_server.h"

namespace zinnialedge::services::operators {

/// Runs `work` on the worker thread of the operator service. Returns false when the thread's queue is full.
using post_hook = std::function<bool(std::function<void()>)>;

/// Handles POST /commands: authenticates the partner, parses the statements, and executes changes or answers show statements.
class command_handler {
public:
    command_handler(configuration::partner_keys, kernel::service_registry const&, post_hook);

    void handle(wire::http_request const&, wire::http_responder const&);

private:
    void executeChanges(std::vector<language::statement> const&, std::string const& partner, wire::http_responder const&);
    void answerDryRun(std::vector<language::statement> const&, std::string const& partner, wire::http_responder const&);
    void answerShow(language::show const&, wire::http_responder const&);
    void answerTargetList(language::show const&, wire::http_responder const&);
    void answerObjectList(std::string const& prefix, std::string const& title, wire::http_responder const&);
    /// Returns a responder that may be called on any thread.
    wire::http_responder makeThreadSafeResponder(wire::http_responder const&) const;

    configuration::partner_keys m_keys;
    kernel::service_registry const& m_registry;
    post_hook m_postToWorkerThread;
};

}

#pragma once

#include "Libraries/zinnialedge/wire/http_client.h"
#include <string>

namespace zinnialedge::utilities::control {

/// Talks to one daemon; each call waits for its reply.
class daemon_client {
public:
    daemon_client(model::endpoint operators, std::string key);

    /// POST /commands with the statements; a dry run only plans.
    wire::http_result command(std::string const& statements, bool isDryRun);
    wire::http_result state();
    /// POST /query on the callers' port.
    wire::http_result query(model::endpoint const& callers, std::string const& body);

private:
    static wire::http_result call(model::endpoint const&, wire::http_request const&);

    model::endpoint m_operators;
    std::string m_key;
};

}

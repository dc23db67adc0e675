#pragma once

#include "Libraries/zinnialedge/wire/http_client.h"
#include <string>

namespace zinnialedge::utilities::control {

/// Client of one daemon. Each call blocks until the daemon's response arrives.
class daemon_client {
public:
    daemon_client(model::endpoint operators, std::string key);

    /// Sends the statements with POST /commands. A dry run only computes the changes.
    wire::http_result command(std::string const& statements, bool isDryRun);
    wire::http_result state();
    /// Asks with GET /route what would become of a request. An empty tenant is left out.
    wire::http_result route(std::string const& method, std::string const& host, std::string const& path, std::string const& tenant);
    /// Sends POST /query to the callers' port.
    wire::http_result query(model::endpoint const& callers, std::string const& body);

private:
    static wire::http_result call(model::endpoint const&, wire::http_request const&);

    model::endpoint m_operators;
    std::string m_key;
};

}

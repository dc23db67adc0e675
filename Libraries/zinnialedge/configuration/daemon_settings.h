#pragma once

#include "Libraries/zinnialedge/model/endpoint.h"
#include <cstdint>
#include <map>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace zinnialedge::configuration {

/// How much a daemon takes on at once.
struct daemon_limits {
    std::uint32_t queries { 1024 };
    std::size_t leafCalls { 32'768 };
    std::size_t callerConnections { 4096 };
    std::size_t bodyBytes { 65'536 };
    std::size_t tickets { 100'000 };
    /// Calls to the platform's store.
    double storeCallsPerSecond { 2 };
    double storeCallBurst { 60 };
};

/// The settings file of one daemon.
struct daemon_settings {
    std::string name;
    std::string partner;
    std::string region;
    std::string dataCentre;
    model::endpoint callers;
    model::endpoint operators;
    model::endpoint peers;
    model::endpoint platform;
    /// Peers to ask when the platform's store does not answer at the start.
    std::vector<model::endpoint> seeds;
    /// The file that holds each partner's key.
    std::map<std::string, std::string> keyFiles;
    /// Guaranteed shares of the daemon in percent.
    std::map<std::string, std::uint32_t> partnerShares;
    std::string logLevel { "info" };
    /// False: the naive policy under load, which measurements compare with.
    bool isPolicyFull { true };
    daemon_limits limits;
};

/// Every problem of a settings text, one line each, when there are any.
tl::expected<daemon_settings, std::vector<std::string>> parseDaemonSettings(std::string_view text);

}

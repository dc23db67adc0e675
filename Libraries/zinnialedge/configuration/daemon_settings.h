#pragma once

#include "Libraries/zinnialedge/model/endpoint.h"
#include <cstdint>
#include <map>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace zinnialedge::configuration {

/// Limits on the resources that a daemon uses at a time.
struct daemon_limits {
    std::uint32_t queries { 1024 };
    std::size_t leafCalls { 32'768 };
    std::size_t callerConnections { 4096 };
    std::size_t bodyBytes { 65'536 };
    std::size_t tickets { 100'000 };
    /// Rate and burst of calls to the platform's store.
    double storeCallsPerSecond { 2 };
    double storeCallBurst { 60 };
};

/// Settings of a daemon, as read from the settings file.
struct daemon_settings {
    std::string name;
    std::string partner;
    std::string region;
    std::string dataCentre;
    model::endpoint callers;
    model::endpoint operators;
    model::endpoint peers;
    model::endpoint platform;
    /// Peers to contact when the platform's store does not reply at startup.
    std::vector<model::endpoint> seeds;
    /// Path of the key file by partner.
    std::map<std::string, std::string> keyFilesByPartner;
    /// Guaranteed share of the daemon's capacity in percent, by partner.
    std::map<std::string, std::uint32_t> sharePercentByPartner;
    std::string logLevel { "info" };
    /// Whether the full load policy is used. False selects the naive policy, which serves as the baseline of measurements.
    bool isFullLoadPolicy { true };
    daemon_limits limits;
};

/// Returns the settings, or one line for each problem of the text.
tl::expected<daemon_settings, std::vector<std::string>> parseDaemonSettings(std::string_view text);

}

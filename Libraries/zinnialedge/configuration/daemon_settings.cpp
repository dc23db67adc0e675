#include "Libraries/zinnialedge/configuration/daemon_settings.h"

#include "Libraries/zinnialedge/configuration/json_reader.h"
#include <boost/json/value.hpp>
#include <numeric>

namespace zinnialedge::configuration {

static constexpr std::uint64_t maximumQueries = 100'000;
static constexpr std::uint64_t maximumLeafCalls = 1'000'000;
static constexpr std::uint64_t maximumConnections = 60'000;
static constexpr std::uint64_t maximumBodyBytes = 1 << 20;
static constexpr std::uint64_t maximumTickets = 10'000'000;
static constexpr std::uint64_t maximumStoreCalls = 1000;
static constexpr std::uint64_t minimumStoreCallBurst = 10;

static void parseLimits(json_reader& reader, daemon_limits& limits)
{
    limits.queries = static_cast<std::uint32_t>(reader.number("queries", 1, maximumQueries, limits.queries));
    limits.leafCalls = reader.number("leaf_calls", 1, maximumLeafCalls, limits.leafCalls);
    limits.callerConnections = reader.number("caller_connections", 1, maximumConnections, limits.callerConnections);
    limits.bodyBytes = reader.number("body_bytes", 1, maximumBodyBytes, limits.bodyBytes);
    limits.tickets = reader.number("tickets", 1, maximumTickets, limits.tickets);
    limits.storeCallsPerSecond = static_cast<double>(reader.number("store_calls_per_second", 1, maximumStoreCalls, static_cast<std::uint64_t>(limits.storeCallsPerSecond)));
    limits.storeCallBurst = static_cast<double>(reader.number("store_call_burst", minimumStoreCallBurst, maximumStoreCalls, static_cast<std::uint64_t>(limits.storeCallBurst)));
}

static void parsePartners(json_reader& reader, daemon_settings& settings)
{
    std::uint64_t totalSharePercent = 0;
    reader.list("partners", false, [&](json_reader& item) {
        auto const name = item.text("name");
        if (item.has("key_file"))
            settings.keyFilesByPartner[name] = item.text("key_file");
        auto const share = static_cast<std::uint32_t>(item.number("share_percent", 0, 100, 0));
        settings.sharePercentByPartner[name] = share;
        totalSharePercent += share;
    });
    if (totalSharePercent > 100)
        reader.report("partners", "shares with a sum of at most 100");
}

static daemon_settings parseFields(json_reader& reader)
{
    daemon_settings settings;
    settings.name = reader.text("name");
    if (settings.name.find_first_of("~/ ") != std::string::npos)
        reader.report("name", "a name without '~', '/' and spaces");
    settings.partner = reader.text("partner");
    settings.region = reader.text("region");
    settings.dataCentre = reader.text("data_centre");
    settings.callers = reader.endpoint("callers", true);
    settings.operators = reader.endpoint("operators", true);
    settings.peers = reader.endpoint("peers", true);
    settings.platform = reader.endpoint("platform", false);
    reader.list("seeds", false, [&](json_reader& item) {
        auto const address = item.text("address");
        settings.seeds.push_back({ address, static_cast<std::uint16_t>(item.number("port", 1, 65535)) });
    });
    parsePartners(reader, settings);
    static std::vector<std::string_view> const levels { "trace", "debug", "info", "warn", "error" };
    settings.logLevel = std::string { levels[reader.choice("log_level", levels, 2)] };
    static std::vector<std::string_view> const policies { "naive", "full" };
    settings.isFullLoadPolicy = reader.choice("load_policy", policies, 1) == 1;
    reader.object("limits", false, [&](json_reader& item) { parseLimits(item, settings.limits); });
    return settings;
}

tl::expected<daemon_settings, std::vector<std::string>> parseDaemonSettings(std::string_view text)
{
    std::vector<std::string> problems;
    auto const value = parseJson(text, problems);
    if (!value)
        return tl::unexpected(problems);
    json_reader reader { *value, problems };
    auto settings = parseFields(reader);
    reader.finish();
    if (!problems.empty())
        return tl::unexpected(problems);
    return settings;
}

}

#include "Libraries/zinnialedge/configuration/edge_settings.h"

#include "Libraries/zinnialedge/configuration/json_reader.h"

namespace zinnialedge::configuration {

static constexpr double maximumWindowSeconds = 3600;
static constexpr double maximumExtraCalls = 1e6;
static constexpr double maximumQuotaOverage = 10;
static constexpr double maximumQuotaSlack = 1e6;
static constexpr double minimumStoreRate = 1;
static constexpr double maximumStoreRate = 1e6;
static constexpr double maximumStopSeconds = 600;
static constexpr double maximumLeafPauseSeconds = 86'400;
/// A share of zero could not run a daemon.
static constexpr double minimumProcessorShare = 0.001;
static constexpr double maximumProcessorShare = 1024;
static constexpr double maximumLinkMegabits = 1e6;
static constexpr std::uint64_t maximumMemoryMegabytes = 1U << 24U;
static constexpr std::uint64_t maximumDescriptors = 1U << 24U;
static constexpr double maximumOverage = 100;
static constexpr double maximumColdSlack = 1e6;

/// Reads a time of at least a second. The fraction is kept to the millisecond.
static std::chrono::milliseconds readSeconds(json_reader& reader, std::string_view name, double maximum)
{
    return std::chrono::round<std::chrono::milliseconds>(std::chrono::duration<double> { reader.real(name, 1, maximum) });
}

static void parseExtraCalls(json_reader& reader, edge_settings& settings)
{
    settings.extraCalls.ratio = reader.real("ratio", 0, 1);
    settings.extraCalls.window = readSeconds(reader, "window_s", maximumWindowSeconds);
    settings.extraCalls.slack = reader.real("slack", 0, maximumExtraCalls);
}

static void parseStoreRates(json_reader& reader, edge_settings& settings)
{
    settings.storeRates.readsPerSecond = reader.real("reads_per_s", minimumStoreRate, maximumStoreRate);
    settings.storeRates.writesPerSecond = reader.real("writes_per_s", minimumStoreRate, maximumStoreRate);
}

static void parseCapacity(json_reader& reader, edge_settings& settings)
{
    vm_capacity capacity { reader.real("processor", minimumProcessorShare, maximumProcessorShare), reader.real("link_mbps", 0, maximumLinkMegabits) };
    capacity.memoryMegabytes = reader.number("memory_mb", 1, maximumMemoryMegabytes, capacity.memoryMegabytes);
    capacity.descriptors = reader.number("descriptors", 1, maximumDescriptors, capacity.descriptors);
    settings.capacity = capacity;
}

static void parseColdLeafs(json_reader& reader, edge_settings& settings)
{
    settings.coldLeafs.overage = reader.real("overage", 1, maximumOverage);
    settings.coldLeafs.slack = reader.real("slack", 0, maximumColdSlack);
}

static void parseQuotas(json_reader& reader, edge_settings& settings)
{
    settings.quotaTolerance.window = readSeconds(reader, "window_s", maximumWindowSeconds);
    settings.quotaTolerance.overage = reader.real("overage", 0, maximumQuotaOverage);
    settings.quotaTolerance.slack = reader.real("slack", 0, maximumQuotaSlack);
}

edge_settings_change compareSettings(edge_settings const& before, edge_settings const& after)
{
    edge_settings_change change;
    auto const compare = [&](std::vector<std::string>& names, char const* name, bool isEqual) {
        if (!isEqual)
            names.emplace_back(name);
    };
    compare(change.appliedAtOnce, "seeds", before.seeds == after.seeds);
    compare(change.appliedAtOnce, "extra_calls", before.extraCalls == after.extraCalls);
    compare(change.appliedAtOnce, "store_rates", before.storeRates == after.storeRates);
    compare(change.appliedAtOnce, "quotas", before.quotaTolerance == after.quotaTolerance);
    compare(change.appliedAtOnce, "stop_time_s", before.stopTimeLimit == after.stopTimeLimit);
    compare(change.appliedAtOnce, "log_level", before.logLevel == after.logLevel);
    compare(change.appliedAtNextStart, "name", before.name == after.name);
    compare(change.appliedAtNextStart, "region", before.region == after.region);
    compare(change.appliedAtNextStart, "data_centre", before.dataCentre == after.dataCentre);
    compare(change.appliedAtNextStart, "callers", before.callers == after.callers);
    compare(change.appliedAtNextStart, "readiness", before.readiness == after.readiness);
    compare(change.appliedAtNextStart, "directory", before.directory == after.directory);
    compare(change.appliedAtNextStart, "peers", before.peers == after.peers);
    compare(change.appliedAtNextStart, "relays", before.relays == after.relays);
    compare(change.appliedAtNextStart, "operators", before.operators == after.operators);
    compare(change.appliedAtNextStart, "store", before.store == after.store);
    compare(change.appliedAtNextStart, "leaf_calls_from", before.leafCallSource == after.leafCallSource);
    compare(change.appliedAtNextStart, "maximum_leaf_pause_s", before.maximumLeafPause == after.maximumLeafPause);
    compare(change.appliedAtNextStart, "capacity", before.capacity == after.capacity);
    compare(change.appliedAtNextStart, "evacuations", before.readsEvacuations == after.readsEvacuations);
    compare(change.appliedAtNextStart, "cold_leafs", before.coldLeafs == after.coldLeafs);
    compare(change.appliedAtNextStart, "leaf_pace", before.leafPace == after.leafPace);
    return change;
}

tl::expected<edge_settings, std::vector<std::string>> parseEdgeSettings(std::string_view text)
{
    std::vector<std::string> problems;
    auto const value = parseJson(text, problems);
    if (!value)
        return tl::unexpected(problems);
    json_reader reader { *value, problems };
    edge_settings settings;
    settings.name = reader.text("name");
    settings.region = reader.text("region");
    settings.dataCentre = reader.text("data_centre");
    settings.callers = reader.place("callers");
    settings.readiness = reader.place("readiness");
    settings.directory = reader.place("directory");
    settings.peers = reader.place("peers");
    settings.relays = reader.place("relays");
    settings.operators = reader.place("operators");
    settings.store = reader.place("store");
    for (auto const& seed : reader.texts("seeds")) {
        auto const endpoint = model::parseEndpoint(seed);
        if (endpoint)
            settings.seeds.push_back({ endpoint->address, settings.peers.port });
        else
            reader.report("seeds", "endpoints like \"10.0.0.1:7380\"");
    }
    reader.object("extra_calls", true, [&](json_reader& item) { parseExtraCalls(item, settings); });
    reader.object("store_rates", true, [&](json_reader& item) { parseStoreRates(item, settings); });
    reader.object("quotas", false, [&](json_reader& item) { parseQuotas(item, settings); });
    settings.stopTimeLimit = readSeconds(reader, "stop_time_s", maximumStopSeconds);
    if (reader.has("maximum_leaf_pause_s"))
        settings.maximumLeafPause = readSeconds(reader, "maximum_leaf_pause_s", maximumLeafPauseSeconds);
    reader.object("capacity", false, [&](json_reader& item) { parseCapacity(item, settings); });
    if (reader.has("leaf_calls_from")) {
        settings.leafCallSource = reader.text("leaf_calls_from");
        if (!model::parseEndpoint(settings.leafCallSource + ":1"))
            reader.report("leaf_calls_from", "an address like \"10.0.0.1\"");
    }
    settings.readsEvacuations = reader.flag("evacuations", false);
    reader.object("cold_leafs", false, [&](json_reader& item) { parseColdLeafs(item, settings); });
    static std::vector<std::string_view> const paceScopes { "declared", "always", "never" };
    settings.leafPace = static_cast<pacing::pace_scope>(reader.choice("leaf_pace", paceScopes, 0));
    static std::vector<std::string_view> const levels { "trace", "debug", "info", "warn", "error" };
    settings.logLevel = std::string { levels[reader.choice("log_level", levels, 2)] };
    reader.finish();
    if (!problems.empty())
        return tl::unexpected(problems);
    return settings;
}

}

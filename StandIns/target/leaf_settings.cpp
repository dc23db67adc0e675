#include "StandIns/target/leaf_settings.h"

#include "Libraries/zinnialedge/configuration/json_reader.h"
#include <boost/json/value.hpp>

namespace zinnialedge::stand_ins::target {

using configuration::json_reader;

static constexpr std::uint64_t maximumNumber = std::numeric_limits<std::uint64_t>::max();
static constexpr std::uint64_t maximumMicroseconds = 60'000'000;
static constexpr std::uint64_t maximumCount = 100'000;

static std::chrono::microseconds readMicroseconds(json_reader& reader, std::string_view name, std::chrono::microseconds fallback)
{
    return std::chrono::microseconds { static_cast<std::int64_t>(reader.number(name, 0, maximumMicroseconds, static_cast<std::uint64_t>(fallback.count()))) };
}

static leaf_settings parseLeaf(json_reader& reader)
{
    leaf_settings leaf;
    leaf.name = reader.text("name");
    leaf.place = reader.endpoint("at", true);
    leaf.shard = static_cast<std::uint32_t>(reader.number("shard", 0, maximumCount, 0));
    leaf.seed = reader.number("seed", 0, maximumNumber, leaf.seed);
    leaf.slots = reader.number("slots", 1, maximumCount, leaf.slots);
    leaf.queue = reader.number("queue", 0, maximumCount, leaf.queue);
    leaf.connectionCap = reader.number("connections", 1, maximumCount, leaf.connectionCap);
    leaf.connectionOpenDelay = readMicroseconds(reader, "connection_cost_us", leaf.connectionOpenDelay);
    leaf.work.base = readMicroseconds(reader, "base_us", leaf.work.base);
    leaf.work.exponentialMean = readMicroseconds(reader, "exponential_us", leaf.work.exponentialMean);
    leaf.work.stragglerPercent = static_cast<double>(reader.number("straggler_percent", 0, 100, 2));
    leaf.work.stragglerFactor = static_cast<double>(reader.number("straggler_factor", 1, 1000, 5));
    if (reader.has("epochs"))
        leaf.epochs = reader.numbers("epochs");
    if (reader.has("versions"))
        leaf.versions = reader.numbers("versions");
    leaf.rowsPerReply = static_cast<std::uint32_t>(reader.number("rows", 0, maximumCount, leaf.rowsPerReply));
    leaf.coldStartDuration = reader.milliseconds("cold_start_ms", 0, maximumMicroseconds, leaf.coldStartDuration);
    return leaf;
}

tl::expected<std::vector<leaf_settings>, std::vector<std::string>> parseLeafSettings(std::string_view text)
{
    std::vector<std::string> problems;
    std::vector<leaf_settings> leafs;
    if (auto const value = configuration::parseJson(text, problems)) {
        json_reader reader { *value, problems };
        reader.list("leafs", true, [&](json_reader& item) { leafs.push_back(parseLeaf(item)); });
        reader.finish();
    }
    if (!problems.empty())
        return tl::unexpected(problems);
    return leafs;
}

}

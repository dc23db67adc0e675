#include "Utilities/zl-load/load_plan.h"

#include "Libraries/zinnialedge/configuration/json_reader.h"
#include <boost/json/value.hpp>

namespace zinnialedge::utilities::load {

using configuration::json_reader;

static constexpr std::uint64_t maximumRequestsPerSecond = 1'000'000;
static constexpr std::uint64_t maximumMilliseconds = 3'600'000;

static std::vector<model::endpoint> parseEndpoints(json_reader& reader, std::string_view name, bool isRequired)
{
    std::vector<model::endpoint> endpoints;
    reader.list(name, isRequired, [&](json_reader& item) {
        auto const address = item.text("address");
        endpoints.push_back({ address, static_cast<std::uint16_t>(item.number("port", 1, 65535)) });
    });
    return endpoints;
}

static load_stream parseStream(json_reader& reader)
{
    load_stream stream;
    stream.service = reader.text("service");
    stream.requestKind = reader.text("request");
    stream.requestsPerSecond = static_cast<double>(reader.number("per_second", 1, maximumRequestsPerSecond));
    stream.isKeyed = reader.flag("keyed", false);
    stream.isTicketed = reader.flag("ticketed", false);
    stream.deadline = reader.milliseconds("deadline_ms", 0, maximumMilliseconds, stream.deadline);
    return stream;
}

tl::expected<load_plan, std::vector<std::string>> parseLoadPlan(std::string_view text)
{
    std::vector<std::string> problems;
    load_plan plan;
    if (auto const value = configuration::parseJson(text, problems)) {
        json_reader reader { *value, problems };
        plan.directory = parseEndpoints(reader, "directory", true);
        plan.operators = parseEndpoints(reader, "operators", false);
        reader.list("streams", true, [&](json_reader& item) { plan.streams.push_back(parseStream(item)); });
        plan.duration = reader.milliseconds("duration_ms", 1, maximumMilliseconds, plan.duration);
        plan.warmUpDuration = reader.milliseconds("warm_up_ms", 0, maximumMilliseconds, plan.warmUpDuration);
        plan.seed = reader.number("seed", 0, std::numeric_limits<std::uint64_t>::max(), plan.seed);
        plan.dataCentre = reader.text("data_centre", "");
        if (plan.directory.empty())
            reader.report("directory", "expected at least one daemon");
        reader.finish();
    }
    if (!problems.empty())
        return tl::unexpected(problems);
    return plan;
}

}

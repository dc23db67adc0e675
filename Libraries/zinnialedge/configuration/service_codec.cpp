#include "Libraries/zinnialedge/configuration/service_codec.h"

#include "Kernel/try.h"
#include "Libraries/zinnialedge/configuration/json_reader.h"
#include "Libraries/zinnialedge/configuration/service_object.h"
#include "Libraries/zinnialedge/model/service_limits.h"
#include <boost/json.hpp>
#include <set>

namespace zinnialedge::configuration {

namespace json = boost::json;

static model::request_kind_declaration parseRequest(json_reader& reader)
{
    return {
        .name = reader.text("name"),
        .isUrgent = reader.flag("urgent", false),
        .isRepeatable = reader.flag("repeatable", true),
        .isAllShardsQuery = reader.flag("all_shards", true),
    };
}

static model::target_declaration parseTarget(json_reader& reader, std::uint32_t shardCount)
{
    return {
        .name = reader.text("name"),
        .place = reader.endpoint("at", false),
        .shard = static_cast<std::uint32_t>(reader.number("shard", 0, shardCount - 1)),
        .slots = static_cast<std::uint32_t>(reader.number("slots", 1, model::maximumTargetConnections, 2)),
        .connectionCap = static_cast<std::uint32_t>(reader.number("connections", 1, model::maximumTargetConnections, 25)),
        .isDraining = reader.flag("draining", false),
    };
}

static void checkUniqueNames(model::service_declaration const& service, std::vector<std::string>& problems)
{
    std::set<std::string_view> names;
    for (auto const& target : service.targets) {
        if (!names.insert(target.name).second)
            problems.push_back("targets: expected unique names, but " + target.name + " occurs more than once");
    }
    names.clear();
    for (auto const& request : service.requests) {
        if (!names.insert(request.name).second)
            problems.push_back("requests: expected unique names, but " + request.name + " occurs more than once");
    }
}

model::service_declaration parseServiceFields(json_reader& reader, std::vector<std::string>& problems)
{
    model::service_declaration service;
    service.name = reader.text("name");
    service.partner = reader.text("partner");
    service.epoch = reader.number("epoch", 1, std::numeric_limits<std::uint64_t>::max(), 1);
    service.shardCount = static_cast<std::uint32_t>(reader.number("shards", 1, model::maximumShardCount));
    service.coverage = static_cast<model::coverage_policy>(reader.choice("coverage", { "whole", "partial" }, 0));
    service.deadline = reader.milliseconds("deadline_ms", 1, model::maximumDeadlineMilliseconds, service.deadline);
    service.softDeadline = reader.milliseconds("soft_deadline_ms", 1, model::maximumDeadlineMilliseconds, std::min(service.softDeadline, service.deadline));
    service.minimumCoveragePercent = static_cast<std::uint32_t>(reader.number("soft_share_percent", 1, 100, service.minimumCoveragePercent));
    service.maximumHedgePercent = static_cast<std::uint32_t>(reader.number("hedge_percent", 0, 100, service.maximumHedgePercent));
    service.daemonGroupSize = static_cast<std::uint32_t>(reader.number("group_size", 1, model::maximumGroupSize, service.daemonGroupSize));
    reader.list("requests", true, [&](json_reader& item) { service.requests.push_back(parseRequest(item)); });
    reader.list("targets", false, [&](json_reader& item) { service.targets.push_back(parseTarget(item, service.shardCount)); });
    if (service.softDeadline > service.deadline)
        reader.report("soft_deadline_ms", "no more than deadline_ms");
    checkUniqueNames(service, problems);
    return service;
}

errors::error_or<model::service_declaration> parseService(std::string_view text)
{
    auto object = TRY(parseServiceObject(text));
    if (!object.declaration)
        return errors::makeError(errors::error_kind::unknown_service, "the service was removed");
    return std::move(*object.declaration);
}

static json::value toJson(model::request_kind_declaration const& request)
{
    return { { "name", request.name }, { "urgent", request.isUrgent }, { "repeatable", request.isRepeatable }, { "all_shards", request.isAllShardsQuery } };
}

static json::value toJson(model::target_declaration const& target)
{
    return {
        { "name", target.name },
        { "at", { { "address", target.place.address }, { "port", target.place.port } } },
        { "shard", target.shard },
        { "slots", target.slots },
        { "connections", target.connectionCap },
        { "draining", target.isDraining },
    };
}

json::value toJson(model::service_declaration const& service)
{
    json::array requests;
    for (auto const& request : service.requests)
        requests.push_back(toJson(request));
    json::array targets;
    for (auto const& target : service.targets)
        targets.push_back(toJson(target));
    return {
        { "name", service.name },
        { "partner", service.partner },
        { "epoch", service.epoch },
        { "shards", service.shardCount },
        { "coverage", model::toString(service.coverage) },
        { "deadline_ms", service.deadline.count() },
        { "soft_deadline_ms", service.softDeadline.count() },
        { "soft_share_percent", service.minimumCoveragePercent },
        { "hedge_percent", service.maximumHedgePercent },
        { "group_size", service.daemonGroupSize },
        { "requests", std::move(requests) },
        { "targets", std::move(targets) },
    };
}

}

#include "Libraries/zinnialedge/configuration/service_object.h"

#include "Kernel/try.h"
#include "Libraries/zinnialedge/configuration/json_reader.h"
#include "Libraries/zinnialedge/configuration/service_codec.h"
#include <boost/algorithm/string/join.hpp>
#include <boost/json.hpp>

namespace zinnialedge::configuration {

namespace json = boost::json;

static constexpr auto maximumNumber = std::numeric_limits<std::uint64_t>::max();

static writer_history parseWriters(json_reader& reader)
{
    auto const changes = reader.number("changes", 0, maximumNumber);
    std::vector<writer_mark> marks;
    reader.list("recent", true, [&](json_reader& item) {
        marks.push_back({ item.text("writer"), item.number("sequence", 0, maximumNumber), item.number("change", 1, maximumNumber) });
    });
    return { changes, std::move(marks) };
}

static json::value toJson(writer_history const& writers)
{
    json::array recent;
    for (auto const& mark : writers.marks())
        recent.push_back({ { "writer", mark.writer }, { "sequence", mark.sequence }, { "change", mark.change } });
    return { { "changes", writers.changes() }, { "recent", std::move(recent) } };
}

errors::error_or<service_object> parseServiceObject(std::string_view text)
{
    std::vector<std::string> problems;
    auto const value = parseJson(text, problems);
    service_object object;
    if (value) {
        json_reader reader { *value, problems };
        reader.object("writers", false, [&](json_reader& item) { object.writers = parseWriters(item); });
        bool const isRemoved = reader.flag("removed", false);
        if (isRemoved)
            object.name = reader.text("name");
        else
            object.declaration = parseServiceFields(reader, problems);
        reader.finish();
    }
    if (!problems.empty())
        return errors::makeError(errors::error_kind::malformed_command, boost::algorithm::join(problems, "; "));
    if (object.declaration)
        object.name = object.declaration->name;
    return object;
}

std::string formatServiceObject(service_object const& object)
{
    json::object fields;
    if (object.declaration)
        fields = toJson(*object.declaration).as_object();
    else
        fields = { { "name", object.name }, { "removed", true } };
    fields["writers"] = toJson(object.writers);
    return json::serialize(fields);
}

static void addRequests(field_values& fields, model::service_declaration const& service)
{
    for (auto const& request : service.requests) {
        auto const prefix = "request " + request.name;
        fields[prefix + " urgency"] = request.isUrgent ? "urgent" : "ordinary";
        fields[prefix + " repetition"] = request.isRepeatable ? "repeatable" : "not-repeatable";
        fields[prefix + " reach"] = request.isAllShardsQuery ? "all-shards" : "keyed";
    }
}

static void addTargets(field_values& fields, model::service_declaration const& service)
{
    for (auto const& target : service.targets) {
        auto const prefix = "target " + target.name;
        fields[prefix + " at"] = model::toString(target.place);
        fields[prefix + " shard"] = std::to_string(target.shard);
        fields[prefix + " slots"] = std::to_string(target.slots);
        fields[prefix + " connections"] = std::to_string(target.connectionCap);
        fields[prefix + " draining"] = target.isDraining ? "yes" : "no";
    }
}

field_values toFieldValues(std::optional<model::service_declaration> const& service)
{
    field_values fields;
    if (!service)
        return fields;
    fields["service"] = service->name;
    fields["partner"] = service->partner;
    fields["shards"] = std::to_string(service->shardCount);
    fields["epoch"] = std::to_string(service->epoch);
    fields["coverage"] = model::toString(service->coverage);
    fields["deadline"] = std::to_string(service->deadline.count()) + "ms";
    fields["soft-deadline"] = std::to_string(service->softDeadline.count()) + "ms";
    fields["after"] = std::to_string(service->minimumCoveragePercent) + "%";
    fields["hedge"] = std::to_string(service->maximumHedgePercent) + "%";
    fields["group"] = std::to_string(service->daemonGroupSize);
    addRequests(fields, *service);
    addTargets(fields, *service);
    return fields;
}

static std::optional<std::string> valueOf(field_values const& fields, std::string const& name)
{
    auto const found = fields.find(name);
    return found == fields.end() ? std::nullopt : std::optional { found->second };
}

std::vector<field_change> compareFields(field_values const& before, field_values const& after)
{
    std::vector<field_change> changes;
    for (auto const& [name, value] : before) {
        if (valueOf(after, name) != value)
            changes.push_back({ name, value, valueOf(after, name) });
    }
    for (auto const& [name, value] : after) {
        if (!before.contains(name))
            changes.push_back({ name, std::nullopt, value });
    }
    return changes;
}

}

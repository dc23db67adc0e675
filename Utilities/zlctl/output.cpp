#include "Utilities/zlctl/output.h"

#include "Libraries/zinnialedge/configuration/service_codec.h"
#include "Libraries/zinnialedge/language/formatter.h"
#include <boost/json.hpp>
#include <iomanip>

namespace zinnialedge::utilities::control {

namespace json = boost::json;

static std::string textOf(json::value const& value)
{
    if (value.is_null())
        return "-";
    return value.is_string() ? std::string { value.get_string() } : json::serialize(value);
}

void printResults(std::ostream& out, json::value const& reply)
{
    for (auto const& each : reply.at("results").as_array()) {
        out << "service " << textOf(each.at("service")) << ": ";
        if (each.at("result").as_string() == "accepted")
            out << (each.at("changed").as_bool() ? "accepted as version " : "unchanged at version ") << textOf(each.at("version")) << "\n";
        else
            out << "refused, " << textOf(each.at("error").at("kind")) << ": " << textOf(each.at("error").at("message")) << "\n";
    }
}

void printChanges(std::ostream& out, json::value const& reply)
{
    for (auto const& change : reply.at("changes").as_array()) {
        for (auto const& field : change.at("fields").as_array())
            out << "service " << textOf(change.at("service")) << ", " << textOf(field.at("field")) << ": " << textOf(field.at("before")) << " -> " << textOf(field.at("after")) << "\n";
    }
}

static constexpr int nameWidth = 24;
static constexpr int endpointWidth = 24;

static void printService(std::ostream& out, json::value const& each)
{
    auto const& body = each.at("body");
    out << std::left << std::setw(nameWidth) << textOf(body.at("name")) << " partner " << textOf(body.at("partner")) << " shards " << textOf(body.at("shards"))
        << " targets " << (body.as_object().contains("targets") ? body.at("targets").as_array().size() : 0) << " version " << textOf(each.at("version")) << "\n";
}

static void printTarget(std::ostream& out, json::value const& each)
{
    out << std::left << std::setw(nameWidth) << textOf(each.at("name")) << std::setw(endpointWidth) << textOf(each.at("at")) << textOf(each.at("state")) << " in flight " << textOf(each.at("in_flight")) << "\n";
}

void printShowResult(std::ostream& out, json::value const& reply)
{
    auto const& found = reply.as_object();
    if (auto const* services = found.if_contains("services")) {
        for (auto const& each : services->as_array())
            printService(out, each);
    } else if (auto const* targets = found.if_contains("targets")) {
        for (auto const& each : targets->as_array())
            printTarget(out, each);
    } else if (auto const* daemons = found.if_contains("daemons")) {
        for (auto const& each : daemons->as_array())
            out << std::left << std::setw(nameWidth) << textOf(each.at("body").at("name")) << textOf(each.at("body").at("data_centre")) << "\n";
    }
}

void printDeclarations(std::ostream& out, json::value const& reply)
{
    for (auto const& each : reply.at("services").as_array()) {
        if (auto const service = configuration::parseService(json::serialize(each.at("body"))))
            out << language::formatDeclaration(*service);
    }
}

}

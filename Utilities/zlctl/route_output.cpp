#include "Utilities/zlctl/route_output.h"

#include <algorithm>
#include <boost/json.hpp>
#include <iomanip>
#include <sstream>
#include <vector>

namespace zinnialedge::utilities::control {

namespace json = boost::json;

/// Number of shards of which the leafs are listed; more fill the screen.
static constexpr std::size_t maximumListedParts = 5;

static std::string textOf(json::value const& value)
{
    if (value.is_null())
        return "-";
    if (value.is_double()) {
        std::ostringstream text;
        text << std::fixed << std::setprecision(1) << value.get_double();
        return text.str();
    }
    return value.is_string() ? std::string { value.get_string() } : json::serialize(value);
}

static std::string daemonOf(json::value const& value)
{
    return value.is_null() ? "none" : textOf(value.at("endpoint")) + " in " + textOf(value.at("data_centre"));
}

static std::string refusalOf(json::value const& value)
{
    return textOf(value.at("status")) + " " + textOf(value.at("reason")) + ", retry after at least " + textOf(value.at("retry_after_ms")) + " ms";
}

static std::string verdictOf(json::value const& reply)
{
    if (!reply.at("refusal").is_null())
        return "refused: " + refusalOf(reply.at("refusal"));
    if (auto const& daemon = reply.at("quarantine").at("trial_daemon"); !daemon.is_null())
        return "passed on to " + daemonOf(daemon) + ", which alone tries the quarantined request";
    if (auto const& daemon = reply.at("detour"); !daemon.is_null())
        return "passed on to " + daemonOf(daemon) + ", since this daemon reaches no leafs";
    if (auto const& admission = reply.at("admission"); !admission.is_null() && admission.at("verdict").as_string() == "enqueue")
        return "waits in the admission queue";
    return "sent to leafs";
}

static void printLeaf(std::ostream& out, json::value const& leaf)
{
    auto const is = [&](char const* name) { return leaf.at(name).as_bool(); };
    auto const isPositive = [&](char const* name) { return leaf.at(name).to_number<double>() > 0; };
    out << "  " << std::right << std::setw(3) << textOf(leaf.at("position")) << " " << textOf(leaf.at("leaf")) << " in " << textOf(leaf.at("data_centre"))
        << ": score " << textOf(leaf.at("score_ms")) << " ms, latency " << textOf(leaf.at("latency_ms")) << " ms (reply " << textOf(leaf.at("since_reply_ms")) << " ms ago), in flight "
        << textOf(leaf.at("in_flight")) << " of " << textOf(leaf.at("in_flight_limit"));
    if (auto const& load = leaf.at("load"); !load.is_null())
        out << ", load " << textOf(load.at("running")) << "+" << textOf(load.at("waiting")) << " of " << textOf(load.at("slots")) << " (" << textOf(load.at("age_ms")) << " ms ago)";
    if (isPositive("error_rate"))
        out << ", error rate " << std::fixed << std::setprecision(2) << leaf.at("error_rate").to_number<double>();
    for (auto const* name : { "suspect", "starting", "evacuated", "draining", "leaving", "misdirected" })
        out << (is(name) ? std::string { ", " } + name : std::string {});
    for (auto const* name : { "backoff_ms", "pause_ms", "warmup_ms", "next_call_ms" })
        out << (isPositive(name) ? std::string { ", " } + name + " " + textOf(leaf.at(name)) : std::string {});
    if (!leaf.at("limit_per_s").is_null())
        out << ", limit " << textOf(leaf.at("limit_per_s")) << " per s";
    out << "\n";
}

static void printPart(std::ostream& out, json::value const& part)
{
    out << textOf(part.at("service"));
    if (part.at("share").to_number<double>() < 1)
        out << ", share " << std::fixed << std::setprecision(2) << part.at("share").to_number<double>();
    if (!part.at("left_out").as_string().empty())
        out << ", left out: " << textOf(part.at("left_out"));
    if (!part.at("relayed_to").as_string().empty())
        out << ", through a daemon in " << textOf(part.at("relayed_to"));
    if (!part.at("refusal").is_null())
        out << ", refused: " << refusalOf(part.at("refusal"));
    out << ", hedge " << (part.at("hedge").as_string().empty() ? "none" : textOf(part.at("hedge"))) << (part.at("hedge_affordable").as_bool() ? "" : " (budget used)") << "\n";
    for (auto const& leaf : part.at("leafs").as_array())
        printLeaf(out, leaf);
}

/// Returns a number that is greater for shards that deserve a look: left out, suspect, or slow.
static double concernOf(json::value const& part)
{
    static constexpr double leftOut = 1e12;
    static constexpr double suspect = 1e9;
    auto const& leafs = part.at("leafs").as_array();
    if (!part.at("left_out").as_string().empty() || leafs.empty() || leafs[0].at("position").is_null())
        return leftOut;
    return leafs[0].at("score_ms").to_number<double>() + (leafs[0].at("suspect").as_bool() ? suspect : 0);
}

void printRoute(std::ostream& out, json::value const& explanation)
{
    out << "route " << textOf(explanation.at("route")) << ", version " << textOf(explanation.at("version")) << ": " << verdictOf(explanation) << "\n";
    out << "tenant " << (explanation.at("tenant").as_string().empty() ? "-" : textOf(explanation.at("tenant"))) << ", priority " << textOf(explanation.at("priority").at("tenant")) << " of the tenant, "
        << textOf(explanation.at("priority").at("route")) << " of the route\n";
    if (auto const& quota = explanation.at("quota"); !quota.is_null())
        out << "quota: level " << textOf(quota.at("level")) << ", " << textOf(quota.at("requests_per_s")) << " per s, " << (quota.at("informed").as_bool() ? "informed" : "not informed") << " (" << textOf(quota.at("members_silent")) << " of "
            << textOf(quota.at("members")) << " members silent)\n";
    auto const& quarantine = explanation.at("quarantine");
    out << "quarantine: " << textOf(quarantine.at("verdict")) << ", losses " << textOf(quarantine.at("losses")) << ", next trial in " << textOf(quarantine.at("next_trial_ms")) << " ms\n";
    out << "links: " << textOf(explanation.at("links")) << ", detour: " << daemonOf(explanation.at("detour")) << "\n";
    if (auto const& admission = explanation.at("admission"); !admission.is_null())
        out << "admission: " << textOf(admission.at("verdict")) << ", in flight " << textOf(admission.at("in_flight")) << " of " << textOf(admission.at("limit")) << ", queued " << textOf(admission.at("queued")) << "\n";
    out << "hedge after " << textOf(explanation.at("hedge_delay_ms")) << " ms" << (explanation.at("no_hedges").as_string().empty() ? "" : ", none: " + textOf(explanation.at("no_hedges"))) << "\n";
    auto const& all = explanation.at("parts").as_array();
    std::vector<json::value const*> parts;
    for (auto const& part : all)
        parts.push_back(&part);
    if (explanation.at("gather").as_bool())
        std::stable_sort(parts.begin(), parts.end(), [](auto const* left, auto const* right) { return concernOf(*left) > concernOf(*right); });
    if (parts.size() > maximumListedParts) {
        parts.resize(maximumListedParts);
        auto const leftOut = std::count_if(all.begin(), all.end(), [](auto const& part) { return !part.at("left_out").as_string().empty(); });
        out << all.size() << " shards, " << leftOut << " left out; the worst " << parts.size() << " (--json shows all):\n";
    }
    for (auto const* part : parts)
        printPart(out, *part);
}

}

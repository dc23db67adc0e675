#include "Libraries/zinnialedge/configuration/text_file.h"
#include "Libraries/zinnialedge/wire/caller_codec.h"
#include "Utilities/zlctl/check.h"
#include "Utilities/zlctl/daemon_client.h"
#include "Utilities/zlctl/exit_code.h"
#include "Utilities/zlctl/explain.h"
#include "Utilities/zlctl/output.h"
#include "Utilities/zlctl/route_output.h"
#include <boost/algorithm/string/join.hpp>
#include <boost/json.hpp>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <optional>
#include <sstream>

DEFINE_string(daemon, "", "ADDRESS:PORT of a daemon's operators' port");
DEFINE_string(key_file, "", "file that contains the partner's key");
DEFINE_bool(json, false, "print the daemon's response unchanged");
DEFINE_string(tenant, "", "tenant by whose name route explains a request");
DEFINE_string(as, "table", "output format of show: table or declarations");

using namespace zinnialedge;
using namespace zinnialedge::utilities::control;
namespace json = boost::json;

static constexpr char const* usage = "--daemon ADDRESS:PORT --key_file FILE COMMAND\n"
                                     "  apply FILE | diff FILE | show services|daemons|targets of SERVICE [where state = STATE]\n"
                                     "  drain target NAME of SERVICE | undrain target NAME of SERVICE\n"
                                     "  query SERVICE REQUEST [KEY] | state\n"
                                     "  route METHOD HOST PATH [--tenant NAME] : prints where a request would go now, without sending it\n"
                                     "  explain ID LOG... : prints the log lines of one request in chronological order; needs no daemon\n"
                                     "  check FILE : prints what a daemon would not use of a configuration, or not as it stands; needs no daemon\n"
                                     "FILE may be - for standard input. Exit codes: 0 done, 1 rejected, 2 invalid input, 3 daemon unreachable,\n"
                                     "4 conflict, 5 diff found differences, 6 outcome unknown";

static constexpr int statusOk = 200;
using printer = void (*)(std::ostream&, json::value const&);

static exit_code reportInvalidInput(std::string const& reason)
{
    std::cerr << "zlctl: " << reason << "\n";
    return exit_code::invalid_input;
}

static std::optional<std::string> readText(std::string const& path)
{
    if (path != "-")
        return configuration::readTextFile(path);
    std::stringstream text;
    text << std::cin.rdbuf();
    return text.str();
}

static exit_code exitCodeForResults(json::value const& reply)
{
    for (auto const& each : reply.at("results").as_array()) {
        if (each.at("result").as_string() == "refused")
            return exitCodeFor(wire::parseError(json::serialize(json::object { { "error", each.at("error") } })).kind);
    }
    return exit_code::success;
}

/// Prints the daemon's response and returns the corresponding exit code.
static exit_code printResponse(wire::http_result const& result, printer print)
{
    if (!result) {
        std::cerr << "zlctl: can't reach the daemon " << FLAGS_daemon << ": " << result.error().reason << "\n";
        return exit_code::unreachable;
    }
    json::error_code failure;
    auto const reply = json::parse(result->body, failure);
    if (failure || !reply.is_object()) {
        std::cerr << "zlctl: the daemon's response is not a JSON object\n";
        return exit_code::unreachable;
    }
    if (FLAGS_json)
        std::cout << result->body << "\n";
    if (reply.as_object().contains("error")) {
        auto const reason = wire::parseError(result->body);
        std::cerr << "zlctl: " << propertiesOf(reason.kind).name << ": " << reason.message << "\n";
        return exitCodeFor(reason.kind);
    }
    if (!FLAGS_json)
        print(std::cout, reply);
    if (reply.as_object().contains("results"))
        return exitCodeForResults(reply);
    auto const* changes = reply.as_object().if_contains("changes");
    return changes && !changes->as_array().empty() ? exit_code::differences_found : exit_code::success;
}

static void printUnchanged(std::ostream& out, json::value const& reply)
{
    out << reply << "\n";
}

static exit_code runQuery(daemon_client& client, std::vector<std::string> const& words)
{
    if (words.size() < 3)
        return reportInvalidInput("expected query SERVICE REQUEST [KEY]");
    auto const state = client.state();
    if (!state || state->status != statusOk)
        return printResponse(state, printUnchanged);
    json::error_code failure;
    auto const parsed = json::parse(state->body, failure);
    auto const* callers = parsed.is_object() ? parsed.as_object().if_contains("callers") : nullptr;
    auto const endpoint = callers && callers->is_string() ? model::parseEndpoint(std::string { callers->get_string() }) : std::nullopt;
    if (!endpoint)
        return reportInvalidInput("the daemon's state has no valid endpoint of its callers' port");
    model::query_request request;
    request.id = "zlctl";
    request.service = words[1];
    request.requestKind = words[2];
    request.key = words.size() > 3 ? words[3] : "";
    return printResponse(client.query(*endpoint, wire::formatQuery(request)), printUnchanged);
}

static exit_code runRoute(daemon_client& client, std::vector<std::string> const& words)
{
    static constexpr std::size_t wordCount = 4;
    if (words.size() != wordCount)
        return reportInvalidInput("expected route METHOD HOST PATH");
    return printResponse(client.route(words[1], words[2], words[3], FLAGS_tenant), printRoute);
}

static exit_code runFile(daemon_client& client, std::vector<std::string> const& words)
{
    if (words.size() != 2)
        return reportInvalidInput("expected " + words[0] + " FILE");
    auto const text = readText(words[1]);
    if (!text)
        return reportInvalidInput("can't read the file " + words[1]);
    bool const isDiff = words[0] == "diff";
    return printResponse(client.command(*text, isDiff), isDiff ? printChanges : printResults);
}

static exit_code run(daemon_client& client, std::vector<std::string> const& words)
{
    auto const& command = words.front();
    if (command == "apply" || command == "diff")
        return runFile(client, words);
    if (command == "show")
        return printResponse(client.command(boost::algorithm::join(words, " "), false), FLAGS_as == "declarations" ? printDeclarations : printShowResult);
    if (command == "drain" || command == "undrain")
        return printResponse(client.command(boost::algorithm::join(words, " "), false), printResults);
    if (command == "query")
        return runQuery(client, words);
    if (command == "route")
        return runRoute(client, words);
    if (command == "state")
        return printResponse(client.state(), printUnchanged);
    return reportInvalidInput("unknown command " + command + "; usage: zlctl " + usage);
}

static exit_code explain(std::vector<std::string> const& words)
{
    if (words.size() < 3)
        return reportInvalidInput("expected explain ID LOG...");
    std::vector<std::string> lines;
    for (std::size_t index = 2; index < words.size(); ++index) {
        std::ifstream log { words[index] };
        if (!log)
            return reportInvalidInput("can't read the log " + words[index]);
        for (auto& line : findRequestLines(log, words[1]))
            lines.push_back(std::move(line));
    }
    for (auto const& line : sortByTime(std::move(lines)))
        std::cout << line << "\n";
    return exit_code::success;
}

static exit_code check(std::vector<std::string> const& words)
{
    if (words.size() != 2)
        return reportInvalidInput("expected check FILE");
    auto const text = readText(words[1]);
    if (!text)
        return reportInvalidInput("can't read the file " + words[1]);
    return checkConfigurationText(*text, std::cout) ? exit_code::success : exit_code::rejected;
}

int main(int argumentCount, char** arguments)
{
    gflags::SetVersionString(ZINNIALEDGE_VERSION);
    gflags::SetUsageMessage(usage);
    gflags::ParseCommandLineFlags(&argumentCount, &arguments, true);
    std::vector<std::string> const words { arguments + 1, arguments + argumentCount };
    if (!words.empty() && words.front() == "explain")
        return static_cast<int>(explain(words));
    if (!words.empty() && words.front() == "check")
        return static_cast<int>(check(words));
    auto const endpoint = model::parseEndpoint(FLAGS_daemon);
    if (!endpoint || words.empty())
        return static_cast<int>(reportInvalidInput(std::string { "usage: zlctl " } + usage));
    if (FLAGS_as != "table" && FLAGS_as != "declarations")
        return static_cast<int>(reportInvalidInput("--as: expected table or declarations"));
    std::string key;
    if (!FLAGS_key_file.empty()) {
        auto text = readText(FLAGS_key_file);
        if (!text)
            return static_cast<int>(reportInvalidInput("can't read the key file " + FLAGS_key_file));
        key = text->substr(0, text->find('\n'));
    }
    daemon_client client { *endpoint, key };
    return static_cast<int>(run(client, words));
}

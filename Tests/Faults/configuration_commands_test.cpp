#include "Kernel/clock.h"
#include "Libraries/zinnialedge/configuration/service_codec.h"
#include "Tests/Support/cluster.h"
#include <CppUTest/TestHarness.h>
#include <boost/json.hpp>
#include <fstream>
#include <set>
#include <thread>

using namespace zinnialedge;
using namespace zinnialedge::tests;
namespace json = boost::json;

TEST_GROUP(ConfigurationCommands)
{
    std::unique_ptr<cluster> running;
    // Members of the group, so that teardown() joins the threads also after a failed check.
    std::atomic<bool> isOver { false };
    std::atomic<int> failedQueries { 0 };
    std::vector<std::thread> threads;

    void setup() override
    {
        running = std::make_unique<cluster>();
        for (auto const* partner : { "suva", "amman" }) {
            std::ofstream { keyFile(partner) } << keyOf(partner) << "\n";
            std::filesystem::permissions(keyFile(partner), std::filesystem::perms::owner_read | std::filesystem::perms::owner_write);
        }
    }

    void teardown() override
    {
        isOver = true;
        for (auto& each : threads)
            each.join();
        running = nullptr;
    }

    static std::string keyOf(std::string const& partner) { return "key-of-" + partner + "-0123456789"; }
    std::string keyFile(std::string const& partner) const { return (running->folder() / ("key-" + partner)).string(); }

    running_daemon& startDaemon(std::string const& name)
    {
        return running->startDaemon(name, "suva", "suva-a", [&](json::object& settings) {
            for (auto& partner : settings["partners"].as_array())
                partner.as_object()["key_file"] = keyFile(std::string { partner.at("name").as_string() });
            settings["limits"] = { { "store_calls_per_second", 50 } };
        });
    }

    static wire::http_result command(running_daemon const& daemon, std::string const& partner, std::string const& statements)
    {
        return callHttp(daemon.operators, { "POST", "/commands", statements, { { "authorization", "Bearer " + keyOf(partner) } } }, std::chrono::seconds { 20 });
    }

    /// Returns "accepted", the error kind of the first rejected command, or "no reply".
    static std::string resultOf(wire::http_result const& reply)
    {
        if (!reply)
            return "no reply";
        auto const body = json::parse(reply->body);
        if (auto const* error = body.as_object().if_contains("error"))
            return std::string { error->at("kind").as_string() };
        for (auto const& each : body.at("results").as_array()) {
            if (each.at("result").as_string() == "refused")
                return std::string { each.at("error").at("kind").as_string() };
        }
        return "accepted";
    }

    std::optional<model::service_declaration> stored(std::string const& service) const
    {
        auto const reply = callHttp(running->platform(), { "GET", "/objects/services/" + service, {}, {} });
        auto parsed = reply && reply->status == 200 ? configuration::parseService(reply->body) : errors::fail(errors::error_kind::internal, "");
        return parsed ? std::optional { std::move(*parsed) } : std::nullopt;
    }

    static std::uint64_t versionOn(running_daemon const& daemon, std::string const& service)
    {
        auto const state = getJson(daemon.operators, "/state");
        auto const& objects = state.at("services").at("decisions").at("objects").as_object();
        auto const* version = objects.if_contains("services/" + service);
        return version ? version->to_number<std::uint64_t>() : 0;
    }

    static std::uint64_t attemptsOn(running_leaf const& leaf)
    {
        return getJson(leaf.place, "/counts").at("runs").to_number<std::uint64_t>();
    }

    int control(std::vector<std::string> const& words, std::string const& partner = "suva") const
    {
        std::vector<std::string> arguments { "--daemon=" + model::toString(running->daemon("suva-1").operators), "--key_file=" + keyFile(partner) };
        arguments.insert(arguments.end(), words.begin(), words.end());
        return child_process { "zlctl", arguments }.waitForExit().value_or(-1);
    }
};

TEST(ConfigurationCommands, ACommandIsInTheStoreAndInForceWhenItIsAccepted)
{
    auto const& daemon = startDaemon("suva-1");
    auto const reply = command(daemon, "suva", "service a { shards 2 hedge 7% } service b { shards 1 }");
    STRCMP_EQUAL("accepted", resultOf(reply).c_str());
    LONGS_EQUAL(7, stored("a")->hedgePercent);
    STRCMP_EQUAL("suva", stored("b")->partner.c_str());
    CHECK(waitUntil([&] { return versionOn(daemon, "a") > 0 && versionOn(daemon, "b") > 0; }, std::chrono::seconds { 3 }));
    STRCMP_EQUAL("accepted", resultOf(command(daemon, "suva", "remove service b")).c_str());
    CHECK(!stored("b"));
    STRCMP_EQUAL("accepted", resultOf(command(daemon, "suva", "service b { shards 3 }")).c_str());
    LONGS_EQUAL(3, stored("b")->shardCount);
}

TEST(ConfigurationCommands, AnOlderObjectFromAnotherDaemonDoesNotRevertWhatWasAccepted)
{
    auto const& daemon = startDaemon("suva-1");
    auto const versionWithHedge = [&](std::string const& hedge) {
        STRCMP_EQUAL("accepted", resultOf(command(daemon, "suva", "service a { shards 2 hedge " + hedge + " }")).c_str());
        auto const before = versionOn(daemon, "a");
        CHECK(waitUntil([&] { return versionOn(daemon, "a") >= before && versionOn(daemon, "a") > 0; }, std::chrono::seconds { 3 }));
        return callHttp(running->platform(), { "GET", "/objects/services/a", {}, {} })->body;
    };
    auto const older = versionWithHedge("7%");
    auto const olderVersion = versionOn(daemon, "a");
    std::ignore = versionWithHedge("9%");
    CHECK(waitUntil([&] { return versionOn(daemon, "a") > olderVersion; }, std::chrono::seconds { 3 }));
    auto const newerVersion = versionOn(daemon, "a");
    sendToPeer(daemon.peers, { "services/a", olderVersion, older });
    // The daemon reads its inbox in order, so a marker sent after the older object shows that the older object was processed.
    sendToPeer(daemon.peers, { "services/marker", 1, std::nullopt });
    CHECK(waitUntil([&] { return versionOn(daemon, "marker") == 1; }, std::chrono::seconds { 3 }));
    LONGS_EQUAL(newerVersion, versionOn(daemon, "a"));
}

TEST(ConfigurationCommands, NoPartnerChangesWhatIsTheOthers)
{
    auto& daemon = startDaemon("suva-1");
    STRCMP_EQUAL("accepted", resultOf(command(daemon, "suva", "service a { shards 2 }")).c_str());
    STRCMP_EQUAL("not_permitted", resultOf(command(daemon, "amman", "service mine { shards 1 } service a { hedge 50% }")).c_str());
    CHECK(!stored("mine"));
    LONGS_EQUAL(5, stored("a")->hedgePercent);
    auto const logged = daemon.process->waitForLine("event=command_refused");
    STRCMP_EQUAL("amman", fieldOf(*logged, "partner").c_str());
    auto const unknown = callHttp(daemon.operators, { "POST", "/commands", "remove service a", { { "authorization", "Bearer guessed-0123456789" } } });
    LONGS_EQUAL(403, unknown->status);
    STRCMP_EQUAL("malformed_command", resultOf(command(daemon, "suva", "drain target")).c_str());
}

TEST(ConfigurationCommands, AKeyFileThatOthersMayReadStopsTheStart)
{
    std::filesystem::permissions(keyFile("suva"), std::filesystem::perms::group_read, std::filesystem::perm_options::add);
    json::object const place { { "address", "127.0.0.1" }, { "port", 0 } };
    json::object const settings { { "name", "d" }, { "partner", "suva" }, { "region", "r" }, { "data_centre", "c" }, { "callers", place }, { "operators", place }, { "peers", place },
        { "platform", { { "address", "127.0.0.1" }, { "port", 1 } } }, { "partners", { { { "name", "suva" }, { "key_file", keyFile("suva") } } } } };
    auto const file = (running->folder() / "open.json").string();
    std::ofstream { file } << json::serialize(settings);
    child_process daemon { "zinnialedged", { "--settings=" + file } };
    CHECK(daemon.waitForLine("open to others").has_value());
    LONGS_EQUAL(1, daemon.waitForExit().value_or(-1));
}

TEST(ConfigurationCommands, TheControlToolTellsEachOutcomeByItsExitCode)
{
    startDaemon("suva-1");
    auto const file = (running->folder() / "declarations").string();
    std::ofstream { file } << "service a { shards 1 }\nmark request r of a urgent\ntarget t1 of a at 127.0.0.1:1 shard 0\n";
    LONGS_EQUAL(5, control({ "diff", file }));
    LONGS_EQUAL(0, control({ "apply", file }));
    CHECK(waitUntil([&] { return control({ "diff", file }) == 0; }, std::chrono::seconds { 11 }));
    LONGS_EQUAL(0, control({ "apply", file }));
    LONGS_EQUAL(0, control({ "drain", "target", "t1", "of", "a" }));
    LONGS_EQUAL(1, control({ "drain", "target", "t1", "of", "a" }, "amman"));
    LONGS_EQUAL(2, control({ "drain", "target", "t9", "of", "a" }));
    LONGS_EQUAL(2, control({ "apply", "/nonexistent" }));
    LONGS_EQUAL(0, control({ "show", "services", "--as=declarations" }));
    LONGS_EQUAL(0, control({ "show", "targets", "of", "a" }));
    LONGS_EQUAL(0, control({ "show", "targets", "of", "a", "where", "state", "=", "draining" }));
    LONGS_EQUAL(0, control({ "show", "daemons" }));
    LONGS_EQUAL(0, control({ "state" }));
    CHECK(stored("a")->targets.front().isDraining);
    running->daemon("suva-1").process->signal(SIGKILL);
    running->daemon("suva-1").process->waitForExit();
    LONGS_EQUAL(3, control({ "state" }));
}

TEST(ConfigurationCommands, ADrainedTargetGetsNoNewWork)
{
    running->startService(smallPlan("lunch-portal", "suva", 1));
    auto const& daemon = startDaemon("suva-1");
    CHECK(running->waitForLeafs(daemon, "lunch-portal"));
    threads.emplace_back([this, place = daemon.callers] {
        model::query_request request;
        request.id = "q";
        request.service = "lunch-portal";
        request.requestKind = "search";
        while (!isOver)
            failedQueries += query(place, request) ? 0 : 1;
    });
    auto const& leaf = running->leafsOf("lunch-portal").front();
    CHECK(waitUntil([&] { return attemptsOn(leaf) > 20; }));
    auto const result = resultOf(command(daemon, "suva", "drain target " + leaf.name + " of lunch-portal"));
    std::this_thread::sleep_for(std::chrono::seconds { 3 });
    auto const before = attemptsOn(leaf);
    auto const twin = attemptsOn(running->leafsOf("lunch-portal").back());
    CHECK(waitUntil([&] { return attemptsOn(running->leafsOf("lunch-portal").back()) > twin + 100; }));
    LONGS_EQUAL(before, attemptsOn(leaf));
    LONGS_EQUAL(0, failedQueries);
    STRCMP_EQUAL("accepted", result.c_str());
}

TEST(ConfigurationCommands, WhatRacingOperatorsAreToldIsTrue)
{
    struct told {
        std::string target;
        bool isDraining;
        std::string result;
        std::uint64_t version { 0 };
        std::uint64_t change { 0 };
    };
    std::vector<running_daemon*> daemons { &startDaemon("suva-1"), &startDaemon("suva-2"), &startDaemon("suva-3") };
    for (auto const* partner : { "suva", "amman" }) {
        std::string text = std::string { "service of-" } + partner + " { shards 1 }";
        for (int target = 0; target < 4; ++target)
            text += " target t" + std::to_string(target) + " of of-" + partner + " at 127.0.0.1:1 shard 0";
        STRCMP_EQUAL("accepted", resultOf(command(*daemons[0], partner, text)).c_str());
    }
    std::mutex mutex;
    std::map<std::string, std::vector<told>> all;
    std::vector<std::thread> operators;
    operators.reserve(4);
    for (int each = 0; each < 4; ++each) {
        operators.emplace_back([&, each] {
            std::string const partner = each % 2 == 0 ? "suva" : "amman";
            auto const random = kernel::makeSeededRandom(static_cast<std::uint64_t>(each));
            for (int number = 0; number < 15; ++number) {
                auto const target = "t" + std::to_string(random() % 4);
                bool const isDraining = random() % 2 == 0;
                auto const reply = command(*daemons[random() % 3], partner, (isDraining ? "drain target " : "undrain target ") + target + " of of-" + partner);
                auto const result = resultOf(reply);
                told heard { target, isDraining, result };
                if (result == "accepted") {
                    auto const first = json::parse(reply->body).at("results").at(0);
                    heard.version = first.at("version").to_number<std::uint64_t>();
                    heard.change = first.at("change").to_number<std::uint64_t>();
                }
                std::scoped_lock const lock { mutex };
                all[partner].push_back(heard);
            }
        });
    }
    // Each fault of the store lasts until 5 more commands have ended, or for 1 s when no command can end.
    auto const waitForCommands = [&] {
        auto const count = [&] {
            std::scoped_lock const lock { mutex };
            return all["suva"].size() + all["amman"].size();
        };
        auto const before = count();
        waitUntil([&] { return count() >= before + 5; }, std::chrono::milliseconds { 1000 });
    };
    for (int fault = 0; fault < 4; ++fault) {
        running->setPlatformFaults({ { "lose_replies", 2 } });
        waitForCommands();
        running->setPlatformFaults({ { "failing", fault % 2 == 0 }, { "outage", fault % 2 == 1 } });
        waitForCommands();
        running->setPlatformFaults({ { "failing", false }, { "outage", false } });
        waitForCommands();
    }
    for (auto& each : operators)
        each.join();
    for (auto& [partner, commands] : all) {
        // The last accepted command for each target is in effect, unless a command for the target had an unknown outcome.
        std::sort(commands.begin(), commands.end(), [](auto const& a, auto const& b) { return a.change < b.change; });
        std::map<std::string, bool> wanted;
        std::set<std::string> unknown;
        std::size_t accepted = 0;
        for (auto const& each : commands) {
            if (each.result == "accepted") {
                wanted[each.target] = each.isDraining;
                ++accepted;
            } else if (each.result == "outcome_unknown" || each.result == "no reply") {
                unknown.insert(each.target);
            }
        }
        CHECK(accepted > 0);
        auto const service = "of-" + partner;
        auto const present = *stored(service);
        for (auto const& target : present.targets) {
            if (!unknown.contains(target.name))
                CHECK(target.isDraining == wanted[target.name]);
        }
        auto const newest = std::max_element(commands.begin(), commands.end(), [](auto const& a, auto const& b) { return a.version < b.version; })->version;
        for (auto const* daemon : daemons)
            CHECK(waitUntil([&] { return versionOn(*daemon, service) >= newest; }, std::chrono::seconds { 11 }));
    }
}

TEST(ConfigurationCommands, ATargetWhoseVmLeavesGetsNoNewWork)
{
    running->startService(smallPlan("lunch-portal", "suva", 1));
    auto const& daemon = startDaemon("suva-1");
    auto const setState = [&](std::string const& state) {
        auto const body = R"({"vms":[{"address":"127.0.0.1","state":")" + state + "\"}]}";
        LONGS_EQUAL(200, callHttp(running->platform(), { "PUT", "/vms", body, {} })->status);
    };
    auto const isRefused = [&] {
        model::query_request request;
        request.service = "lunch-portal";
        request.requestKind = "search";
        return !query(daemon.callers, request);
    };
    setState("live");
    CHECK(running->waitForLeafs(daemon, "lunch-portal"));
    CHECK(waitUntil([&] { return getJson(daemon.operators, "/state").at("services").at("platform").at("vms").to_number<int>() == 1; }));
    setState("leaving");
    CHECK(waitUntil(isRefused, std::chrono::seconds { 3 }));
    setState("live");
    CHECK(running->waitForLeafs(daemon, "lunch-portal"));
    CHECK(!isRefused());
}

TEST(ConfigurationCommands, AnAcceptedChangeReachesDaemonsThatHearNothingFromTheStore)
{
    auto const& first = startDaemon("suva-1");
    auto const& second = startDaemon("suva-2");
    CHECK(waitUntil([&] { return getJson(first.operators, "/state").at("services").at("decisions").at("daemons_known").to_number<int>() == 2; }));
    running->setPlatformFaults({ { "silent_watches", true } });
    STRCMP_EQUAL("accepted", resultOf(command(first, "suva", "service a { shards 1 }")).c_str());
    CHECK(waitUntil([&] { return versionOn(second, "a") > 0; }, std::chrono::seconds { 3 }));
}

TEST(ConfigurationCommands, WithTheStoreOutQueriesGoOnAndCommandsAreRefused)
{
    running->startService(smallPlan("lunch-portal", "suva", 1));
    auto const& daemon = startDaemon("suva-1");
    CHECK(running->waitForLeafs(daemon, "lunch-portal"));
    running->setPlatformFaults({ { "outage", true } });
    model::query_request request;
    request.id = "q";
    request.service = "lunch-portal";
    request.requestKind = "search";
    auto const refused = std::chrono::steady_clock::now();
    STRCMP_EQUAL("store_unavailable", resultOf(command(daemon, "suva", "service lunch-portal { hedge 50% }")).c_str());
    CHECK(std::chrono::steady_clock::now() - refused < std::chrono::seconds { 11 });
    auto const until = refused + std::chrono::seconds { 20 };
    while (std::chrono::steady_clock::now() < until)
        CHECK(query(daemon.callers, request).has_value());
    running->setPlatformFaults({ { "outage", false } });
    LONGS_EQUAL(5, stored("lunch-portal")->hedgePercent);
    CHECK(waitUntil([&] { return getJson(daemon.operators, "/state").at("services").at("platform").at("reachable").as_bool(); }, std::chrono::seconds { 11 }));
    STRCMP_EQUAL("accepted", resultOf(command(daemon, "suva", "service lunch-portal { hedge 50% }")).c_str());
}

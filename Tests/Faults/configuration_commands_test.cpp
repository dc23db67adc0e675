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
    std::unique_ptr<cluster> testCluster;
    // Members of the group, so that teardown() joins the threads also after a failed check.
    std::atomic<bool> shouldStop { false };
    std::atomic<int> failedQueries { 0 };
    std::vector<std::thread> threads;

    void setup() override
    {
        testCluster = std::make_unique<cluster>();
        for (auto const* partner : { "suva", "amman" }) {
            std::ofstream { keyFilePath(partner) } << partnerKey(partner) << "\n";
            std::filesystem::permissions(keyFilePath(partner), std::filesystem::perms::owner_read | std::filesystem::perms::owner_write);
        }
    }

    void teardown() override
    {
        shouldStop = true;
        for (auto& each : threads)
            each.join();
        testCluster = nullptr;
    }

    static std::string partnerKey(std::string const& partner) { return "key-of-" + partner + "-0123456789"; }
    std::string keyFilePath(std::string const& partner) const { return (testCluster->folder() / ("key-" + partner)).string(); }

    running_daemon& startDaemon(std::string const& name)
    {
        return testCluster->startDaemon(name, "suva", "suva-a", [&](json::object& settings) {
            for (auto& partner : settings["partners"].as_array())
                partner.as_object()["key_file"] = keyFilePath(std::string { partner.at("name").as_string() });
            settings["limits"] = { { "store_calls_per_second", 50 } };
        });
    }

    static wire::http_result sendCommands(running_daemon const& daemon, std::string const& partner, std::string const& statements)
    {
        return callHttp(daemon.operators, { "POST", "/commands", statements, { { "authorization", "Bearer " + partnerKey(partner) } } }, std::chrono::seconds { 20 });
    }

    /// Returns "accepted", the error kind of the first rejected command, or "no reply".
    static std::string commandResult(wire::http_result const& reply)
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

    std::optional<model::service_declaration> storedDeclaration(std::string const& service) const
    {
        auto const reply = callHttp(testCluster->platform(), { "GET", "/objects/services/" + service, {}, {} });
        auto parsed = reply && reply->status == 200 ? configuration::parseService(reply->body) : errors::makeError(errors::error_kind::internal, "");
        return parsed ? std::optional { std::move(*parsed) } : std::nullopt;
    }

    static std::uint64_t knownVersion(running_daemon const& daemon, std::string const& service)
    {
        auto const state = getJson(daemon.operators, "/state");
        auto const& objects = state.at("services").at("decisions").at("objects").as_object();
        auto const* version = objects.if_contains("services/" + service);
        return version ? version->to_number<std::uint64_t>() : 0;
    }

    static std::uint64_t runCountOf(running_leaf const& leaf)
    {
        return getJson(leaf.place, "/counts").at("runs").to_number<std::uint64_t>();
    }

    int runControlTool(std::vector<std::string> const& words, std::string const& partner = "suva") const
    {
        std::vector<std::string> arguments { "--daemon=" + model::toString(testCluster->daemon("suva-1").operators), "--key_file=" + keyFilePath(partner) };
        arguments.insert(arguments.end(), words.begin(), words.end());
        return child_process { "zlctl", arguments }.waitForExit().value_or(-1);
    }
};

TEST(ConfigurationCommands, AnAcceptedCommandIsStoredAndInEffect)
{
    auto const& daemon = startDaemon("suva-1");
    auto const reply = sendCommands(daemon, "suva", "service a { shards 2 hedge 7% } service b { shards 1 }");
    STRCMP_EQUAL("accepted", commandResult(reply).c_str());
    LONGS_EQUAL(7, storedDeclaration("a")->maximumHedgePercent);
    STRCMP_EQUAL("suva", storedDeclaration("b")->partner.c_str());
    CHECK(waitUntil([&] { return knownVersion(daemon, "a") > 0 && knownVersion(daemon, "b") > 0; }, std::chrono::seconds { 3 }));
    STRCMP_EQUAL("accepted", commandResult(sendCommands(daemon, "suva", "remove service b")).c_str());
    CHECK(!storedDeclaration("b"));
    STRCMP_EQUAL("accepted", commandResult(sendCommands(daemon, "suva", "service b { shards 3 }")).c_str());
    LONGS_EQUAL(3, storedDeclaration("b")->shardCount);
}

TEST(ConfigurationCommands, AnOlderObjectFromAPeerDoesNotReplaceANewerVersion)
{
    auto const& daemon = startDaemon("suva-1");
    auto const versionWithHedge = [&](std::string const& hedge) {
        STRCMP_EQUAL("accepted", commandResult(sendCommands(daemon, "suva", "service a { shards 2 hedge " + hedge + " }")).c_str());
        auto const before = knownVersion(daemon, "a");
        CHECK(waitUntil([&] { return knownVersion(daemon, "a") >= before && knownVersion(daemon, "a") > 0; }, std::chrono::seconds { 3 }));
        return callHttp(testCluster->platform(), { "GET", "/objects/services/a", {}, {} })->body;
    };
    auto const older = versionWithHedge("7%");
    auto const oldVersion = knownVersion(daemon, "a");
    std::ignore = versionWithHedge("9%");
    CHECK(waitUntil([&] { return knownVersion(daemon, "a") > oldVersion; }, std::chrono::seconds { 3 }));
    auto const newerVersion = knownVersion(daemon, "a");
    sendToPeer(daemon.peers, { "services/a", oldVersion, older });
    // The daemon reads its inbox in order, so a marker sent after the older object shows that the older object was processed.
    sendToPeer(daemon.peers, { "services/marker", 1, std::nullopt });
    CHECK(waitUntil([&] { return knownVersion(daemon, "marker") == 1; }, std::chrono::seconds { 3 }));
    LONGS_EQUAL(newerVersion, knownVersion(daemon, "a"));
}

TEST(ConfigurationCommands, ACommandForAServiceOfAnotherPartnerIsRejected)
{
    auto& daemon = startDaemon("suva-1");
    STRCMP_EQUAL("accepted", commandResult(sendCommands(daemon, "suva", "service a { shards 2 }")).c_str());
    STRCMP_EQUAL("not_permitted", commandResult(sendCommands(daemon, "amman", "service mine { shards 1 } service a { hedge 50% }")).c_str());
    CHECK(!storedDeclaration("mine"));
    LONGS_EQUAL(5, storedDeclaration("a")->maximumHedgePercent);
    auto const logged = daemon.process->waitForLine("event=command_refused");
    STRCMP_EQUAL("amman", logFieldValue(*logged, "partner").c_str());
    auto const unknown = callHttp(daemon.operators, { "POST", "/commands", "remove service a", { { "authorization", "Bearer guessed-0123456789" } } });
    LONGS_EQUAL(403, unknown->status);
    STRCMP_EQUAL("malformed_command", commandResult(sendCommands(daemon, "suva", "drain target")).c_str());
}

TEST(ConfigurationCommands, AKeyFileReadableByOthersFailsTheStart)
{
    std::filesystem::permissions(keyFilePath("suva"), std::filesystem::perms::group_read, std::filesystem::perm_options::add);
    json::object const place { { "address", "127.0.0.1" }, { "port", 0 } };
    json::object const settings { { "name", "d" }, { "partner", "suva" }, { "region", "r" }, { "data_centre", "c" }, { "callers", place }, { "operators", place }, { "peers", place },
        { "platform", { { "address", "127.0.0.1" }, { "port", 1 } } }, { "partners", { { { "name", "suva" }, { "key_file", keyFilePath("suva") } } } } };
    auto const file = (testCluster->folder() / "open.json").string();
    std::ofstream { file } << json::serialize(settings);
    child_process daemon { "zinnialedged", { "--settings=" + file } };
    CHECK(daemon.waitForLine("is accessible to users other than the owner").has_value());
    LONGS_EQUAL(1, daemon.waitForExit().value_or(-1));
}

TEST(ConfigurationCommands, TheExitCodeOfTheControlToolTellsTheOutcome)
{
    startDaemon("suva-1");
    auto const file = (testCluster->folder() / "declarations").string();
    std::ofstream { file } << "service a { shards 1 }\nmark request r of a urgent\ntarget t1 of a at 127.0.0.1:1 shard 0\n";
    LONGS_EQUAL(5, runControlTool({ "diff", file }));
    LONGS_EQUAL(0, runControlTool({ "apply", file }));
    CHECK(waitUntil([&] { return runControlTool({ "diff", file }) == 0; }, std::chrono::seconds { 11 }));
    LONGS_EQUAL(0, runControlTool({ "apply", file }));
    LONGS_EQUAL(0, runControlTool({ "drain", "target", "t1", "of", "a" }));
    LONGS_EQUAL(1, runControlTool({ "drain", "target", "t1", "of", "a" }, "amman"));
    LONGS_EQUAL(2, runControlTool({ "drain", "target", "t9", "of", "a" }));
    LONGS_EQUAL(2, runControlTool({ "apply", "/nonexistent" }));
    LONGS_EQUAL(0, runControlTool({ "show", "services", "--as=declarations" }));
    LONGS_EQUAL(0, runControlTool({ "show", "targets", "of", "a" }));
    LONGS_EQUAL(0, runControlTool({ "show", "targets", "of", "a", "where", "state", "=", "draining" }));
    LONGS_EQUAL(0, runControlTool({ "show", "daemons" }));
    LONGS_EQUAL(0, runControlTool({ "state" }));
    CHECK(storedDeclaration("a")->targets.front().isDraining);
    testCluster->daemon("suva-1").process->signal(SIGKILL);
    testCluster->daemon("suva-1").process->waitForExit();
    LONGS_EQUAL(3, runControlTool({ "state" }));
}

TEST(ConfigurationCommands, ADrainedTargetReceivesNoNewCalls)
{
    testCluster->startService(smallPlan("lunch-portal", "suva", 1));
    auto const& daemon = startDaemon("suva-1");
    CHECK(testCluster->waitForLeafs(daemon, "lunch-portal"));
    threads.emplace_back([this, place = daemon.callers] {
        model::query_request request;
        request.id = "q";
        request.service = "lunch-portal";
        request.requestKind = "search";
        while (!shouldStop)
            failedQueries += query(place, request) ? 0 : 1;
    });
    auto const& leaf = testCluster->leafsOf("lunch-portal").front();
    CHECK(waitUntil([&] { return runCountOf(leaf) > 20; }));
    auto const result = commandResult(sendCommands(daemon, "suva", "drain target " + leaf.name + " of lunch-portal"));
    std::this_thread::sleep_for(std::chrono::seconds { 3 });
    auto const before = runCountOf(leaf);
    auto const otherLeafRunCount = runCountOf(testCluster->leafsOf("lunch-portal").back());
    CHECK(waitUntil([&] { return runCountOf(testCluster->leafsOf("lunch-portal").back()) > otherLeafRunCount + 100; }));
    LONGS_EQUAL(before, runCountOf(leaf));
    LONGS_EQUAL(0, failedQueries);
    STRCMP_EQUAL("accepted", result.c_str());
}

TEST(ConfigurationCommands, ResultsOfConcurrentCommandsMatchTheStoredState)
{
    struct command_outcome {
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
        STRCMP_EQUAL("accepted", commandResult(sendCommands(*daemons[0], partner, text)).c_str());
    }
    std::mutex mutex;
    std::map<std::string, std::vector<command_outcome>> outcomesByPartner;
    std::vector<std::thread> operators;
    operators.reserve(4);
    for (int each = 0; each < 4; ++each) {
        operators.emplace_back([&, each] {
            std::string const partner = each % 2 == 0 ? "suva" : "amman";
            auto const random = kernel::makeSeededRandom(static_cast<std::uint64_t>(each));
            for (int number = 0; number < 15; ++number) {
                auto const target = "t" + std::to_string(random() % 4);
                bool const isDraining = random() % 2 == 0;
                auto const reply = sendCommands(*daemons[random() % 3], partner, (isDraining ? "drain target " : "undrain target ") + target + " of of-" + partner);
                auto const result = commandResult(reply);
                command_outcome outcome { target, isDraining, result };
                if (result == "accepted") {
                    auto const first = json::parse(reply->body).at("results").at(0);
                    outcome.version = first.at("version").to_number<std::uint64_t>();
                    outcome.change = first.at("change").to_number<std::uint64_t>();
                }
                std::scoped_lock const lock { mutex };
                outcomesByPartner[partner].push_back(outcome);
            }
        });
    }
    // Each fault of the store lasts until 5 more commands have ended, or for 1 s when no command can end.
    auto const waitForCommands = [&] {
        auto const count = [&] {
            std::scoped_lock const lock { mutex };
            return outcomesByPartner["suva"].size() + outcomesByPartner["amman"].size();
        };
        auto const before = count();
        waitUntil([&] { return count() >= before + 5; }, std::chrono::milliseconds { 1000 });
    };
    for (int fault = 0; fault < 4; ++fault) {
        testCluster->setPlatformFaults({ { "lose_replies", 2 } });
        waitForCommands();
        testCluster->setPlatformFaults({ { "failing", fault % 2 == 0 }, { "outage", fault % 2 == 1 } });
        waitForCommands();
        testCluster->setPlatformFaults({ { "failing", false }, { "outage", false } });
        waitForCommands();
    }
    for (auto& each : operators)
        each.join();
    for (auto& [partner, commands] : outcomesByPartner) {
        // The last accepted command for each target is in effect, unless a command for the target had an unknown outcome.
        std::sort(commands.begin(), commands.end(), [](auto const& a, auto const& b) { return a.change < b.change; });
        std::map<std::string, bool> expectedDraining;
        std::set<std::string> unknown;
        std::size_t accepted = 0;
        for (auto const& each : commands) {
            if (each.result == "accepted") {
                expectedDraining[each.target] = each.isDraining;
                ++accepted;
            } else if (each.result == "outcome_unknown" || each.result == "no reply") {
                unknown.insert(each.target);
            }
        }
        CHECK(accepted > 0);
        auto const service = "of-" + partner;
        auto const declaration = *storedDeclaration(service);
        for (auto const& target : declaration.targets) {
            if (!unknown.contains(target.name))
                CHECK(target.isDraining == expectedDraining[target.name]);
        }
        auto const newest = std::max_element(commands.begin(), commands.end(), [](auto const& a, auto const& b) { return a.version < b.version; })->version;
        for (auto const* daemon : daemons)
            CHECK(waitUntil([&] { return knownVersion(*daemon, service) >= newest; }, std::chrono::seconds { 11 }));
    }
}

TEST(ConfigurationCommands, ATargetOnALeavingVmReceivesNoNewCalls)
{
    testCluster->startService(smallPlan("lunch-portal", "suva", 1));
    auto const& daemon = startDaemon("suva-1");
    auto const setState = [&](std::string const& state) {
        auto const body = R"({"vms":[{"address":"127.0.0.1","state":")" + state + "\"}]}";
        LONGS_EQUAL(200, callHttp(testCluster->platform(), { "PUT", "/vms", body, {} })->status);
    };
    auto const isQueryRejected = [&] {
        model::query_request request;
        request.service = "lunch-portal";
        request.requestKind = "search";
        return !query(daemon.callers, request);
    };
    setState("live");
    CHECK(testCluster->waitForLeafs(daemon, "lunch-portal"));
    CHECK(waitUntil([&] { return getJson(daemon.operators, "/state").at("services").at("platform").at("vms").to_number<int>() == 1; }));
    setState("leaving");
    CHECK(waitUntil(isQueryRejected, std::chrono::seconds { 3 }));
    setState("live");
    CHECK(testCluster->waitForLeafs(daemon, "lunch-portal"));
    CHECK(!isQueryRejected());
}

TEST(ConfigurationCommands, AnAcceptedChangeReachesADaemonWhoseStoreWatchesAreUnresponsive)
{
    auto const& first = startDaemon("suva-1");
    auto const& second = startDaemon("suva-2");
    CHECK(waitUntil([&] { return getJson(first.operators, "/state").at("services").at("decisions").at("daemons_known").to_number<int>() == 2; }));
    testCluster->setPlatformFaults({ { "silent_watches", true } });
    STRCMP_EQUAL("accepted", commandResult(sendCommands(first, "suva", "service a { shards 1 }")).c_str());
    CHECK(waitUntil([&] { return knownVersion(second, "a") > 0; }, std::chrono::seconds { 3 }));
}

TEST(ConfigurationCommands, DuringAStoreOutageQueriesSucceedAndCommandsAreRejected)
{
    testCluster->startService(smallPlan("lunch-portal", "suva", 1));
    auto const& daemon = startDaemon("suva-1");
    CHECK(testCluster->waitForLeafs(daemon, "lunch-portal"));
    testCluster->setPlatformFaults({ { "outage", true } });
    model::query_request request;
    request.id = "q";
    request.service = "lunch-portal";
    request.requestKind = "search";
    auto const startTime = std::chrono::steady_clock::now();
    STRCMP_EQUAL("store_unavailable", commandResult(sendCommands(daemon, "suva", "service lunch-portal { hedge 50% }")).c_str());
    CHECK(std::chrono::steady_clock::now() - startTime < std::chrono::seconds { 11 });
    auto const until = startTime + std::chrono::seconds { 20 };
    while (std::chrono::steady_clock::now() < until)
        CHECK(query(daemon.callers, request).has_value());
    testCluster->setPlatformFaults({ { "outage", false } });
    LONGS_EQUAL(5, storedDeclaration("lunch-portal")->maximumHedgePercent);
    CHECK(waitUntil([&] { return getJson(daemon.operators, "/state").at("services").at("platform").at("reachable").as_bool(); }, std::chrono::seconds { 11 }));
    STRCMP_EQUAL("accepted", commandResult(sendCommands(daemon, "suva", "service lunch-portal { hedge 50% }")).c_str());
}

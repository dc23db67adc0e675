#include "Tests/Support/cluster.h"

#include "Kernel/verify.h"
#include "Libraries/zinnialedge/configuration/service_codec.h"
#include "Libraries/zinnialedge/wire/caller_codec.h"
#include "Libraries/zinnialedge/wire/peer_codec.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <fstream>
#include <iostream>
#include <stdlib.h>

namespace zinnialedge::tests {

namespace json = boost::json;
using stand_ins::target::leaf_settings;

static std::filesystem::path createTemporaryFolder()
{
    auto pattern = (std::filesystem::temp_directory_path() / "zinnialedge-XXXXXX").string();
    VERIFY(::mkdtemp(pattern.data()));
    return pattern;
}

static model::endpoint readEndpoint(std::string const& line, std::string const& key)
{
    auto const endpoint = model::parseEndpoint(logFieldValue(line, key));
    VERIFY(endpoint);
    return *endpoint;
}

cluster::cluster()
    : m_folder(createTemporaryFolder())
    , m_platformProcess(std::make_shared<child_process>("platform_standin", std::vector<std::string> {}))
{
    auto const ready = m_platformProcess->waitForLine("event=ready");
    VERIFY(ready);
    m_platformEndpoint = readEndpoint(*ready, "listening");
}

cluster::~cluster()
{
    m_daemonsByName.clear();
    m_leafsByService.clear();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

std::string cluster::writeFile(std::string const& name, std::string const& text) const
{
    auto const path = m_folder / name;
    std::ofstream { path } << text;
    return path.string();
}

static json::value toJson(leaf_settings const& leaf)
{
    return {
        { "name", leaf.name },
        { "at", { { "address", leaf.place.address }, { "port", leaf.place.port } } },
        { "shard", leaf.shard },
        { "seed", leaf.seed },
        { "slots", leaf.slots },
        { "queue", leaf.queue },
        { "connections", leaf.connectionCap },
        { "connection_cost_us", leaf.connectionOpenDelay.count() },
        { "base_us", leaf.work.base.count() },
        { "exponential_us", leaf.work.exponentialMean.count() },
        { "straggler_percent", static_cast<std::uint64_t>(leaf.work.stragglerPercent) },
        { "straggler_factor", static_cast<std::uint64_t>(leaf.work.stragglerFactor) },
        { "epochs", json::array(leaf.epochs.begin(), leaf.epochs.end()) },
        { "versions", json::array(leaf.versions.begin(), leaf.versions.end()) },
        { "rows", leaf.rowsPerReply },
        { "cold_start_ms", leaf.coldStartDuration.count() },
    };
}

std::shared_ptr<child_process> cluster::startLeafProcess(std::string const& name, std::vector<leaf_settings> const& settings, std::vector<running_leaf>& runningLeafs)
{
    json::array leafs;
    for (auto const& each : settings)
        leafs.push_back(toJson(each));
    auto const file = writeFile("leafs-" + name + ".json", json::serialize(json::object { { "leafs", std::move(leafs) } }));
    auto const process = std::make_shared<child_process>("target_standin", std::vector<std::string> { "--settings=" + file });
    auto const ready = process->waitForLine("event=ready");
    VERIFY(ready);
    for (auto const& each : settings) {
        auto const line = process->waitForLine("leaf=" + each.name + " ");
        VERIFY(line);
        runningLeafs.push_back({ each.name, each.shard, readEndpoint(*line, "listening"), process });
    }
    return process;
}

std::vector<running_leaf>& cluster::startService(service_plan plan)
{
    auto& service = plan.declaration;
    auto& runningLeafs = m_leafsByService[service.name];
    std::vector<leaf_settings> allSettings;
    for (std::uint32_t shard = 0; shard < service.shardCount; ++shard) {
        for (std::uint32_t replica = 0; replica < plan.leafsPerShard; ++replica) {
            auto leaf = plan.leaf;
            leaf.name = service.name + "-" + std::to_string(shard) + static_cast<char>('a' + replica);
            leaf.place = { "127.0.0.1", 0 };
            leaf.shard = shard;
            leaf.seed = plan.leaf.seed + allSettings.size();
            allSettings.push_back(std::move(leaf));
        }
    }
    if (plan.isProcessPerLeaf) {
        for (auto const& each : allSettings)
            startLeafProcess(each.name, { each }, runningLeafs);
    } else {
        startLeafProcess(service.name, allSettings, runningLeafs);
    }
    service.targets.clear();
    for (std::size_t index = 0; index < runningLeafs.size(); ++index) {
        model::target_declaration target;
        target.name = runningLeafs[index].name;
        target.place = runningLeafs[index].place;
        target.shard = runningLeafs[index].shard;
        target.slots = static_cast<std::uint32_t>(plan.leaf.slots);
        target.connectionCap = static_cast<std::uint32_t>(plan.leaf.connectionCap);
        service.targets.push_back(std::move(target));
    }
    declare(service);
    return runningLeafs;
}

void cluster::declare(model::service_declaration const& service)
{
    auto const body = json::serialize(configuration::toJson(service));
    auto const result = callHttp(m_platformEndpoint, { "PUT", "/objects/services/" + service.name, body, {} });
    VERIFY(result && result->status == 200);
    m_declarationsByService[service.name] = service;
}

running_daemon& cluster::startDaemon(std::string const& name, std::string const& partner, std::string const& dataCentre, std::function<void(json::object&)> const& adjustSettings)
{
    auto const ephemeralEndpoint = [] { return json::object { { "address", "127.0.0.1" }, { "port", 0 } }; };
    json::object settings {
        { "name", name },
        { "partner", partner },
        { "region", partner },
        { "data_centre", dataCentre },
        { "callers", ephemeralEndpoint() },
        { "operators", ephemeralEndpoint() },
        { "peers", ephemeralEndpoint() },
        { "platform", { { "address", m_platformEndpoint.address }, { "port", m_platformEndpoint.port } } },
        { "partners", { { { "name", "suva" }, { "share_percent", 50 } }, { { "name", "amman" }, { "share_percent", 50 } } } },
    };
    if (adjustSettings)
        adjustSettings(settings);
    auto const file = writeFile("daemon-" + name + ".json", json::serialize(settings));
    auto const process = std::make_shared<child_process>("zinnialedged", std::vector<std::string> { "--settings=" + file });
    auto const ready = process->waitForLine("event=ready");
    VERIFY(ready);
    running_daemon startedDaemon { name, readEndpoint(*ready, "callers"), readEndpoint(*ready, "operators"), readEndpoint(*ready, "peers"), process };
    return m_daemonsByName.insert_or_assign(name, std::move(startedDaemon)).first->second;
}

bool cluster::waitForLeafs(running_daemon const& daemon, std::string const& service)
{
    auto const expectedLeafCount = m_declarationsByService.at(service).targets.size();
    return waitUntil([&] {
        auto const state = getJson(daemon.operators, "/state");
        if (!state.is_object())
            return false;
        std::size_t servingLeafCount = 0;
        for (auto const& leaf : state.at("services").at("decisions").at("leafs").as_array())
            servingLeafCount += leaf.at("service").as_string() == service && leaf.at("state").as_string() == "serving" ? 1 : 0;
        return servingLeafCount == expectedLeafCount;
    });
}

void cluster::setLeafFaults(running_leaf const& leaf, json::value const& faults) const
{
    auto const result = postJson(leaf.place, "/faults", faults);
    VERIFY(result && result->status == 200);
}

void cluster::setPlatformFaults(json::value const& faults) const
{
    auto const result = postJson(m_platformEndpoint, "/faults", faults);
    VERIFY(result && result->status == 200);
}

model::answer_or_error query(model::endpoint const& daemon, model::query_request const& request)
{
    static constexpr int statusOk = 200;
    auto const result = callHttp(daemon, { "POST", "/query", wire::formatQuery(request), {} }, std::chrono::seconds { 70 });
    if (!result)
        return errors::makeError(errors::error_kind::internal, result.error().reason);
    if (result->status == statusOk)
        return wire::parseAnswer(result->body);
    return tl::unexpected(wire::parseError(result->body));
}

std::string ticketPrefix(model::endpoint const& daemon, std::string const& service)
{
    auto const directory = getJson(daemon, "/directory?service=" + service);
    VERIFY(directory.is_object());
    return std::string { directory.at("ticket_prefix").as_string() };
}

void sendToPeer(model::endpoint const& peer, configuration::stored_object object)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket { context };
    socket.connect({ boost::asio::ip::make_address(peer.address), peer.port });
    boost::asio::write(socket, boost::asio::buffer(wire::encodePeerMessage({ 0, std::move(object) })));
    // The daemon reads the message before it sees the end of the connection.
    boost::system::error_code ignored;
    socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
}

static service_plan createPortalPlan(std::string const& name, std::string const& partner)
{
    service_plan plan;
    plan.declaration.name = name;
    plan.declaration.partner = partner;
    plan.declaration.shardCount = 20;
    plan.declaration.deadline = std::chrono::milliseconds { 200 };
    return plan;
}

static service_plan createDeskPlan(std::string const& name, std::string const& partner, std::size_t connectionCap)
{
    service_plan plan;
    plan.declaration.name = name;
    plan.declaration.partner = partner;
    plan.declaration.shardCount = 4;
    plan.declaration.deadline = std::chrono::milliseconds { 200 };
    plan.leafsPerShard = 1;
    plan.leaf.slots = 4;
    plan.leaf.connectionCap = connectionCap;
    plan.leaf.connectionOpenDelay = std::chrono::microseconds { 1000 };
    return plan;
}

service_plan lunchPortalPlan()
{
    auto plan = createPortalPlan("lunch-portal", "suva");
    plan.declaration.requests = { { "menu", true, true, true }, { "allergen", true, true, true }, { "order-check", false, true, false } };
    return plan;
}

service_plan kitchenDeskPlan()
{
    auto plan = createDeskPlan("kitchen-desk", "suva", 100);
    plan.declaration.requests = { { "order-confirmation", true, false, false }, { "order-status", false, true, false } };
    return plan;
}

service_plan kerbsideAppPlan()
{
    auto plan = createPortalPlan("kerbside-app", "amman");
    plan.declaration.coverage = model::coverage_policy::partial;
    plan.declaration.softDeadline = std::chrono::milliseconds { 60 };
    plan.declaration.requests = { { "site-history", true, true, true }, { "defects", true, true, true } };
    return plan;
}

service_plan permitDeskPlan()
{
    auto plan = createDeskPlan("permit-desk", "amman", 40);
    plan.declaration.requests = { { "billing-record", false, false, false }, { "permit", false, true, false } };
    return plan;
}

service_plan smallPlan(std::string const& name, std::string const& partner, std::uint32_t shards)
{
    service_plan plan;
    plan.declaration.name = name;
    plan.declaration.partner = partner;
    plan.declaration.shardCount = shards;
    plan.declaration.deadline = std::chrono::milliseconds { 1000 };
    plan.declaration.requests = { { "search", true, true, true }, { "read", false, true, false }, { "confirm", false, false, false } };
    plan.leaf.work = { std::chrono::microseconds { 500 }, std::chrono::microseconds { 500 }, 0, 1 };
    plan.isProcessPerLeaf = true;
    return plan;
}

}

#include "Tests/Support/edge_fleet.h"

#include "Kernel/verify.h"
#include "Tests/Support/http_call.h"
#include <atomic>
#include <boost/json.hpp>
#include <fstream>
#include <sstream>
#include <stdlib.h>

namespace zinnialedge::tests {

namespace json = boost::json;

/// Port numbers that all daemons share. Daemon addresses differ by test process, so that tests can run concurrently.
static constexpr std::uint16_t callersPort = 18104;
static constexpr std::uint16_t readinessPort = 18108;
static constexpr std::uint16_t directoryPort = 18100;
static constexpr std::uint16_t operatorsPort = 19464;

static std::string allocateLoopbackAddress()
{
    static std::atomic<unsigned> count { 0 };
    auto const number = ++count;
    auto const process = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(1 + process % 120) + "." + std::to_string((process / 120) % 250) + "." + std::to_string(1 + number % 250);
}

edge_fleet::edge_fleet(std::size_t daemons)
{
    auto pattern = (std::filesystem::temp_directory_path() / "zinnialedge-edge-XXXXXX").string();
    VERIFY(::mkdtemp(pattern.data()));
    m_folder = pattern;
    for (std::size_t index = 0; index < daemons; ++index) {
        auto newDaemon = std::make_unique<edge_daemon_process>();
        auto const address = allocateLoopbackAddress();
        newDaemon->callers = { address, callersPort };
        newDaemon->readiness = { address, readinessPort };
        newDaemon->directory = { address, directoryPort };
        newDaemon->operators = { address, operatorsPort };
        newDaemon->settingsFile = (m_folder / ("daemon" + std::to_string(index) + ".json")).string();
        m_daemons.push_back(std::move(newDaemon));
    }
    for (std::size_t index = 0; index < daemons; ++index)
        writeSettings(index);
}

void edge_fleet::setDataCentre(std::size_t index, std::string const& dataCentre)
{
    daemon(index).dataCentre = dataCentre;
    writeSettings(index);
}

void edge_fleet::writeSettings(std::size_t index)
{
    json::array seeds;
    for (auto const& other : m_daemons)
        seeds.emplace_back(other->callers.address + ":1");
    auto const& each = *m_daemons[index];
    std::ofstream { each.settingsFile } << json::serialize(json::object {
        { "name", "daemon" + std::to_string(index) },
        { "region", "region" },
        { "data_centre", each.dataCentre },
        { "callers", toString(each.callers) },
        { "readiness", toString(each.readiness) },
        { "directory", toString(each.directory) },
        { "peers", each.callers.address + ":" + std::to_string(peersPort) },
        { "relays", each.callers.address + ":" + std::to_string(relaysPort) },
        { "operators", toString(each.operators) },
        { "store", toString(m_store.place()) },
        { "leaf_calls_from", each.callers.address },
        { "seeds", std::move(seeds) },
        { "extra_calls", { { "ratio", 0.2 }, { "window_s", 10 }, { "slack", 50 } } },
        { "store_rates", { { "reads_per_s", 2000 }, { "writes_per_s", 400 } } },
        { "stop_time_s", 6 },
    });
}

edge_fleet::~edge_fleet()
{
    m_daemons.clear();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

void edge_fleet::declare(std::uint64_t version, std::size_t shards, bool isSingleRepeatable, std::string const& desk)
{
    json::array gather;
    json::array services { { { "name", desk }, { "health_path", "/health" }, { "max_conns", 100 } } };
    for (std::size_t shard = 0; shard < shards; ++shard) {
        auto const name = "shard" + std::to_string(shard);
        gather.emplace_back(name);
        services.push_back({ { "name", name }, { "health_path", "/health" }, { "max_conns", 26 } });
    }
    json::array const routes {
        { { "name", "single" }, { "host", "host" }, { "path_prefix", "/single/" }, { "kind", isSingleRepeatable ? "idempotent" : "non_idempotent" }, { "timeout_ms", 6000 }, { "target_latency_ms", 400 }, { "priority", 2 }, { "service", desk }, { "attempts", 2 } },
        { { "name", "gather" }, { "host", "host" }, { "path_prefix", "/gather/" }, { "kind", "idempotent" }, { "timeout_ms", 1500 }, { "target_latency_ms", 100 }, { "priority", 1 }, { "gather", std::move(gather) }, { "attempts", 2 }, { "top_k", 5 }, { "min_success_ratio", 0.75 } },
    };
    json::object configuration { { "version", version }, { "routes", routes }, { "services", services }, { "limits", { { "max_header_bytes", 16384 }, { "max_body_bytes", 262144 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } } } };
    if (m_completeConfiguration)
        m_completeConfiguration(configuration);
    m_store.put("config", "main", std::move(configuration));
}

void edge_fleet::registerLeaf(std::string const& id, std::string const& service, model::endpoint const& endpoint, std::string const& state, std::string const& dataCentre, std::int64_t startedAt)
{
    m_store.put("servers", id, { { "service", service }, { "address", toString(endpoint) }, { "zone", dataCentre }, { "version", "v1" }, { "max_concurrency", 2 }, { "state", state }, { "warmup_left_ms", 0 }, { "sequence", 1 }, { "born", startedAt } });
}

void edge_fleet::start(std::size_t index)
{
    auto& each = daemon(index);
    each.process = std::make_unique<child_process>("zinnialedge-edge", std::vector<std::string> { "--settings", each.settingsFile }, each.programFolder);
}

void edge_fleet::replaceSetting(std::size_t index, std::string const& field, json::value value)
{
    auto const& file = daemon(index).settingsFile;
    std::ifstream settingsStream { file };
    std::stringstream text;
    text << settingsStream.rdbuf();
    auto settings = json::parse(text.str()).as_object();
    settings[field] = std::move(value);
    std::ofstream { file } << json::serialize(settings);
}

bool edge_fleet::isReady(std::size_t index)
{
    auto const result = callHttp(daemon(index).readiness, { "GET", "/zinnialedge/readiness", {}, {}, 0 }, std::chrono::seconds { 2 });
    return result && result->status == 200;
}

bool edge_fleet::waitUntilReady()
{
    return waitUntil([this] {
        for (std::size_t index = 0; index < m_daemons.size(); ++index) {
            if (daemon(index).process && !isReady(index))
                return false;
        }
        return true;
    });
}

std::vector<std::string> edge_fleet::resolveAddresses(std::size_t index)
{
    auto const answer = getJson(daemon(index).directory, "/zinnialedge/resolve?name=host&region=region&zone=here");
    std::vector<std::string> addresses;
    if (!answer.is_object())
        return addresses;
    if (auto const* const list = answer.as_object().if_contains("addrs")) {
        for (auto const& each : list->as_array())
            addresses.emplace_back(each.as_string());
    }
    return addresses;
}

caller_answer edge_fleet::get(std::size_t index, std::string const& path, std::string const& attemptId, int timeoutMs)
{
    return sendOverNewConnection(daemon(index).callers, formatGetRequest(path, attemptId, timeoutMs));
}

caller_answer edge_fleet::post(std::size_t index, std::string const& path, std::string const& attemptId, std::string const& body)
{
    return sendOverNewConnection(daemon(index).callers, formatPostRequest(path, attemptId, body));
}

}

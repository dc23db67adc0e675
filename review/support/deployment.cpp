#include "review/support/deployment.h"

#include <unistd.h>

namespace review {

namespace json = boost::json;

/// Addresses differ by process, so that scripts can run at the same time.
static std::string loopback(unsigned group, std::size_t index)
{
    static constexpr unsigned range = 200;
    auto const process = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(20 + process % range) + "." + std::to_string(process / range % range + 1) + "." + std::to_string(group + index);
}

static constexpr unsigned storeGroup = 1;
static constexpr unsigned machineGroup = 10;
static constexpr unsigned leafGroup = 60;

std::string small_deployment::machineAddress(std::size_t index) { return loopback(machineGroup, index); }

std::string small_deployment::leafAddress(std::size_t index) { return loopback(leafGroup, index); }

std::string small_deployment::zone(std::size_t index)
{
    static std::vector<std::string> const names { "suva-north", "suva-south", "nausori", "lami" };
    return names[index % names.size()];
}

small_deployment::small_deployment(std::size_t machines, std::string const& folder)
    : m_store(loopback(storeGroup, 0))
{
    auto const firstPort = findFreePort(machineAddress(0));
    std::vector<std::string> seeds;
    for (std::size_t index = 0; index < machines && index < 3; ++index)
        seeds.push_back(machineAddress(index) + ":" + std::to_string(firstPort));
    for (std::size_t index = 0; index < machines; ++index) {
        m_storeAddresses.push_back(m_store.addAddress(loopback(storeGroup, 1 + index)));
        m_machines.push_back(std::make_unique<edge_process>(edge_options { .name = "front-" + zone(index) + "-" + std::to_string(index / 4 + 1), .address = machineAddress(index), .zone = zone(index), .store = m_storeAddresses.back(), .seeds = seeds, .folder = folder, .firstPort = firstPort }));
    }
}

void small_deployment::configure(int version, std::vector<single_route> const& singles, std::vector<gather_route> const& gathers)
{
    json::array routes;
    std::map<std::string, int> services;
    for (auto const& each : singles) {
        routes.push_back({ { "name", "r" + each.prefix }, { "host", host }, { "path_prefix", each.prefix }, { "kind", each.kind }, { "timeout_ms", each.timeoutMs }, { "target_latency_ms", 400 }, { "priority", 2 }, { "service", each.service }, { "attempts", each.attempts } });
        services[each.service] = 100;
    }
    for (auto const& each : gathers) {
        json::array shards;
        for (auto const& shard : each.shards) {
            shards.emplace_back(shard);
            services[shard] = 26;
        }
        routes.push_back({ { "name", "r" + each.prefix }, { "host", host }, { "path_prefix", each.prefix }, { "kind", "idempotent" }, { "timeout_ms", each.timeoutMs }, { "target_latency_ms", each.objectiveMs }, { "priority", 1 }, { "gather", std::move(shards) }, { "attempts", 2 }, { "top_k", 5 }, { "min_success_ratio", each.minimumCoverage } });
    }
    json::array rules;
    for (auto const& [name, connections] : services)
        rules.push_back({ { "name", name }, { "health_path", "/health" }, { "max_conns", connections }, { "protocol", "h1" }, { "tls", false } });
    m_store.put("config", "main", json::object { { "version", version }, { "routes", std::move(routes) }, { "services", std::move(rules) }, { "limits", { { "max_header_bytes", 16384 }, { "max_body_bytes", 262144 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } } } });
}

void small_deployment::addLeafs(std::string const& service, std::size_t count, leaf_options const& like, record& to)
{
    for (std::size_t index = 0; index < count; ++index) {
        auto options = like;
        options.id = "i-" + service + std::to_string(m_leafs.size());
        options.service = service;
        options.address = leafAddress(m_leafs.size());
        if (options.zone.empty())
            options.zone = zone(index);
        m_leafs.emplace_back(std::make_unique<leaf>(std::move(options), m_store, to));
    }
}

std::vector<leaf_run> small_deployment::runs()
{
    std::vector<leaf_run> all;
    for (auto const& each : m_leafs) {
        auto const ofLeaf = each->runs();
        all.insert(all.end(), ofLeaf.begin(), ofLeaf.end());
    }
    return all;
}

std::vector<std::string> small_deployment::callers() const
{
    std::vector<std::string> addresses;
    addresses.reserve(m_machines.size());
    for (auto const& each : m_machines)
        addresses.push_back(each->callers());
    return addresses;
}

bool small_deployment::startAll(milliseconds limit)
{
    std::vector<edge_process*> processes;
    for (auto const& each : m_machines) {
        each->start();
        processes.push_back(each.get());
    }
    return waitUntilReady(processes, limit);
}

}

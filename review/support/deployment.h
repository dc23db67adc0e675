#pragma once

#include "review/support/edge_process.h"
#include "review/support/leaf.h"
#include <memory>

namespace review {

/// Route of single requests in the configuration of `small_deployment`.
struct single_route {
    std::string prefix { "/timi402/" };
    std::string service { "kitchen-desk" };
    std::string kind { "idempotent" };
    int timeoutMs { 6000 };
    int attempts { 2 };
};

/// Route over shards.
struct gather_route {
    std::string prefix { "/bapu561/" };
    std::vector<std::string> shards;
    int timeoutMs { 800 };
    int objectiveMs { 50 };
    double minimumCoverage { 0.75 };
};

/// The store, and the processes of a small deployment with addresses of their own.
class small_deployment {
public:
    /// Starts no process yet.
    small_deployment(std::size_t machines, std::string const& folder);
    /// Address of the store that only this machine uses.
    std::string const& storeAddressOf(std::size_t index) const { return m_storeAddresses[index]; }

    store& platform() { return m_store; }
    edge_process& machine(std::size_t index) { return *m_machines[index]; }
    std::size_t size() const { return m_machines.size(); }
    /// Writes the configuration as the operator does.
    void configure(int version, std::vector<single_route> const& singles, std::vector<gather_route> const& gathers);
    /// Starts a leaf of the service in each of as many zones, or all in the zone that the options name.
    void addLeafs(std::string const& service, std::size_t count, leaf_options const& like, record&);
    std::vector<std::unique_ptr<leaf>>& leafs() { return m_leafs; }
    /// Returns the runs of all leafs.
    std::vector<leaf_run> runs();
    /// Returns the addresses at which the machines take requests.
    std::vector<std::string> callers() const;
    bool startAll(milliseconds limit = milliseconds { 15'000 });

    static std::string machineAddress(std::size_t index);
    static std::string leafAddress(std::size_t index);
    static std::string zone(std::size_t index);
    static constexpr char const* host = "pupu76.example";

private:
    store m_store;
    std::vector<std::string> m_storeAddresses;
    std::vector<std::unique_ptr<edge_process>> m_machines;
    std::vector<std::unique_ptr<leaf>> m_leafs;
};

}

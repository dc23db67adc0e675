#pragma once

#include "Tests/Support/child_process.h"
#include "Tests/Support/edge_bench.h"
#include "Tests/Support/store_stand_in.h"
#include <boost/json/value.hpp>
#include <filesystem>
#include <functional>
#include <map>

namespace zinnialedge::tests {

/// A daemon that runs as a separate process, and the endpoints where the daemon listens.
struct edge_daemon_process {
    model::endpoint callers;
    model::endpoint readiness;
    model::endpoint directory;
    model::endpoint operators;
    std::string dataCentre { "here" };
    std::string settingsFile;
    /// Folder of the build whose program is started; empty for this build.
    std::string programFolder;
    std::unique_ptr<child_process> process;
};

/// A store, leafs and daemons on loopback. Each daemon has a separate address, since all daemons use one set of port numbers.
class edge_fleet {
public:
    explicit edge_fleet(std::size_t daemons);
    ~edge_fleet();
    edge_fleet(edge_fleet const&) = delete;
    edge_fleet& operator=(edge_fleet const&) = delete;

    store_stand_in& store() { return m_store; }
    edge_daemon_process& daemon(std::size_t index) { return *m_daemons.at(index); }
    std::size_t daemonCount() const { return m_daemons.size(); }

    /// Declares a single route "/single/" to the service `desk` and a gather route "/gather/" over `shards` shards.
    void declare(std::uint64_t version, std::size_t shards, bool isSingleRepeatable, std::string const& desk = "desk");
    /// Sets a hook that completes each configuration before declare() writes it.
    void setConfigurationHook(std::function<void(boost::json::object&)> hook) { m_completeConfiguration = std::move(hook); }
    /// Ports of all daemons for each other.
    static constexpr std::uint16_t peersPort = 17380;
    static constexpr std::uint16_t relaysPort = 17381;
    /// Start time of a leaf's first incarnation, in Unix milliseconds.
    static constexpr std::int64_t firstStartTime = 1'700'000'000'000;

    /// Registers a leaf in the store.
    void registerLeaf(std::string const& id, std::string const& service, model::endpoint const&, std::string const& state = "ready", std::string const& dataCentre = "here", std::int64_t startedAt = firstStartTime);
    void removeLeaf(std::string const& id) { m_store.erase("servers", id); }

    /// Sets the data centre of a daemon that has not been started yet.
    void setDataCentre(std::size_t index, std::string const& dataCentre);
    void start(std::size_t index);
    /// Replaces a field in the settings file of a daemon, whether the daemon runs or not.
    void replaceSetting(std::size_t index, std::string const& field, boost::json::value);
    /// Returns whether the readiness endpoint of the daemon answers 200.
    bool isReady(std::size_t index);
    /// Waits until every started daemon is ready. Returns false when the wait times out.
    bool waitUntilReady();
    /// Returns the addresses that the directory of a daemon gives for the host "host".
    std::vector<std::string> resolveAddresses(std::size_t index);
    /// Sends a GET request to a daemon over a new connection.
    caller_answer get(std::size_t index, std::string const& path, std::string const& attemptId, int timeoutMs = 1000);
    /// Sends a POST request to a daemon over a new connection.
    caller_answer post(std::size_t index, std::string const& path, std::string const& attemptId, std::string const& body);

private:
    void writeSettings(std::size_t index);

    std::filesystem::path m_folder;
    store_stand_in m_store;
    std::function<void(boost::json::object&)> m_completeConfiguration;
    std::vector<std::unique_ptr<edge_daemon_process>> m_daemons;
};

}

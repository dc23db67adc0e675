#pragma once

#include "Tests/Support/child_process.h"
#include "Tests/Support/scripted_leaf.h"
#include "Tests/Support/store_stand_in.h"
#include <atomic>
#include <boost/json/object.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace zinnialedge::review {

using steady = std::chrono::steady_clock;

/// Writes `record.txt`, a line for each event, with the milliseconds since the start. Thread-safe.
class record_file {
public:
    explicit record_file(std::filesystem::path const& folder);

    void write(std::string const& line);
    steady::time_point startedAt() const { return m_startedAt; }

private:
    std::mutex m_mutex;
    std::ofstream m_stream;
    steady::time_point m_startedAt { steady::now() };
};

/// What a client got for one attempt.
struct client_answer {
    int status { 0 };
    std::string head;
    std::string body;
    /// Whether the connection ended, or the client's time was over, before the complete answer had arrived.
    bool isIncomplete { true };

    std::string header(std::string const& name) const;
};

/// One attempt of a client, over a new connection.
struct client_request {
    std::string method { "GET" };
    std::string path;
    std::string attemptId;
    std::chrono::milliseconds timeout { 1000 };
    /// Further header lines, each with its line end.
    std::string headers {};
    std::string body {};
};

/// A request as a leaf reads it.
struct leaf_request {
    std::string method;
    std::string target;
    std::string attemptId;
    std::string tenant;
};

/// A leaf of the stand-in. It comes back under its id when it has ended, with a new start time in its entry.
struct leaf_server {
    std::string id;
    std::string service;
    std::string zone;
    std::unique_ptr<tests::scripted_leaf> server;
    std::size_t registeredEndCount { 0 };
};

/// A machine of the system: its address, its settings file and its process.
struct machine {
    std::string name;
    std::string zone;
    std::string address;
    std::string settingsFile;
    std::unique_ptr<tests::child_process> process;
    /// Time of the last start or signal.
    steady::time_point disturbedAt;
};

/// A small deployment on loopback: the store, leafs and machines that run the program of the deploy file.
class deployment {
public:
    /// Decides how a leaf replies to a request that it runs.
    using run_hook = std::function<tests::scripted_reply(leaf_server const&, leaf_request const&, std::string reply)>;

    /// `zones` has the zone of each machine.
    deployment(record_file&, std::vector<std::string> const& zones, run_hook);
    ~deployment();
    deployment(deployment const&) = delete;
    deployment& operator=(deployment const&) = delete;

    void addLeaf(std::string const& service, std::string const& zone);
    void configure(boost::json::object configuration);
    void start(std::size_t index);
    void startAll();
    /// Waits until all machines are ready.
    bool waitUntilReady();
    void kill(std::size_t index);
    /// Writes the entries of leafs that have ended and are back.
    void renewLeafs();
    client_answer send(std::size_t index, client_request const&) const;

    /// Returns the port of all machines for clients.
    std::uint16_t clientPort() const { return m_firstPort; }
    std::vector<machine>& machines() { return m_machines; }
    std::vector<std::unique_ptr<leaf_server>> const& leafs() const { return m_leafs; }
    tests::store_stand_in& store() { return m_store; }

    static constexpr char const* host = "pupu76.example";

private:
    void choosePorts();
    void writeSettings(machine const&) const;
    void writeEntry(leaf_server const&, std::int64_t startedAt);
    tests::scripted_reply answer(leaf_server const&, std::string const& request);

    record_file& m_record;
    run_hook m_run;
    std::filesystem::path m_folder;
    tests::store_stand_in m_store;
    std::vector<std::unique_ptr<leaf_server>> m_leafs;
    std::vector<machine> m_machines;
    std::uint16_t m_firstPort { 0 };
};

/// Returns a route to one service.
boost::json::object serviceRoute(std::string const& name, std::string const& prefix, std::string const& kind, std::string const& service);
/// Returns a route over shards, with the figures of the most frequent request of the sample site.
boost::json::object gatherRoute(std::string const& name, std::string const& prefix, std::vector<std::string> const& shards);
/// Returns a configuration with these routes and the limits of the sample site.
boost::json::object makeConfiguration(std::uint64_t version, std::vector<boost::json::object> const& routes, std::vector<std::string> const& services);

/// Returns whether the disruption is wanted, by the environment variable TROUBLE.
bool isTroubleWanted();

}

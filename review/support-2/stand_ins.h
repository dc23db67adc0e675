#pragma once

// Stand-ins of the platform's store, of leafs and of clients for the scripts of the second review, and the daemons that they start. They use
// blocking sockets on loopback addresses and a thread for each connection.

#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Exit codes of a case.
inline constexpr int ruleHeld = 0;
inline constexpr int ruleBroken = 1;
inline constexpr int couldNotRun = 2;

/// Lines of record.txt, each with the time since the start.
class record {
public:
    explicit record(std::string const& path);
    void add(std::string const& line);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    steady::time_point m_startedAt { steady::now() };
};

/// An HTTP message. Names of headers are in lower case.
struct message {
    std::string startLine;
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(std::string const& name) const;
    /// Returns the method or the target of a request, or the status of a response.
    std::string word(std::size_t index) const;
};

/// A connected TCP socket.
class connection {
public:
    explicit connection(int socket);
    ~connection();
    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;

    /// Returns nothing when the connection ends or the time is over.
    std::optional<message> read(milliseconds timeout);
    bool write(std::string_view bytes);
    /// Ends reads and writes of other threads.
    void shutDown();

private:
    bool readMore(steady::time_point end);

    int m_socket;
    std::string m_buffer;
};

/// Accepts connections and serves each one on a thread of its own.
class server {
public:
    /// Returns the response to a request, or nothing to close the connection without one.
    using handler = std::function<std::optional<std::string>(message const&)>;

    server(std::string const& address, handler);
    ~server();
    server(server const&) = delete;
    server& operator=(server const&) = delete;

    std::uint16_t port() const { return m_port; }
    bool isStopping() const { return m_isStopping; }

private:
    void acceptAll();
    void serve(connection&);

    handler m_handler;
    int m_socket { -1 };
    std::uint16_t m_port { 0 };
    std::atomic<bool> m_isStopping { false };
    std::mutex m_mutex;
    std::vector<std::shared_ptr<connection>> m_connections;
    std::vector<std::thread> m_threads;
    std::thread m_acceptThread;
};

/// The platform's store of objects by kind and name, with lists, watches and conditional writes.
class store {
public:
    store();
    ~store();
    store(store const&) = delete;
    store& operator=(store const&) = delete;

    /// Writes as the operator and the leafs do, without a condition.
    void put(std::string const& kind, std::string const& name, boost::json::value spec);
    std::uint16_t port() const { return m_server->port(); }

private:
    struct entry {
        std::uint64_t revision { 0 };
        boost::json::value spec;
    };
    struct change {
        std::uint64_t revision { 0 };
        std::string kind;
        boost::json::value event;
    };

    std::string handle(message const&);
    std::string read(std::string const& kind, std::string const& name, std::map<std::string, std::string> const& query);
    std::string watch(std::string const& kind, std::uint64_t revision, milliseconds wait);
    std::string write(message const&, std::string const& kind, std::string const& name, std::map<std::string, std::string> const& query);
    void change(std::string const& kind, std::string const& name, std::optional<boost::json::value> spec);
    static boost::json::value describe(std::string const& name, entry const&);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, entry>> m_objects;
    std::vector<struct change> m_history;
    std::uint64_t m_revision { 1 };
    std::atomic<bool> m_isStopping { false };
    std::unique_ptr<server> m_server;
};

/// A request that a leaf ran.
struct run {
    std::string attemptId;
    std::string target;
    std::map<std::string, std::string> headers;
};

/// A sound leaf, which answers each request after some time.
class leaf {
public:
    leaf(record&, std::string id, std::string service, milliseconds work);

    boost::json::value registration() const;
    std::string const& id() const { return m_id; }
    std::vector<run> runs() const;

private:
    std::optional<std::string> handle(message const&);

    record& m_record;
    std::string m_id;
    std::string m_service;
    milliseconds m_work;
    mutable std::mutex m_mutex;
    std::vector<run> m_runs;
    std::unique_ptr<server> m_server;
};

/// Ports that the daemons of a case share, each daemon at its own loopback address.
struct daemon_ports {
    std::uint16_t callers { 0 };
    std::uint16_t readiness { 0 };
    std::uint16_t directory { 0 };
    std::uint16_t peers { 0 };
    std::uint16_t relays { 0 };
    std::uint16_t operators { 0 };
};

/// A process that the deploy file's command starts, with the settings of the template for a small deployment.
class daemon {
public:
    daemon(std::string name, std::string address, daemon_ports const&, std::uint16_t storePort, std::vector<std::string> const& seeds, std::string const& folder);
    ~daemon();
    daemon(daemon const&) = delete;
    daemon& operator=(daemon const&) = delete;

    void start();
    void signal(int number);
    /// Returns how the process ended, if it has: its exit code, or the negative number of its signal.
    std::optional<int> takeEnd();
    /// Waits for the end of the process. Returns whether it has ended.
    bool waitForEnd(milliseconds timeout);
    bool isReady() const;
    std::string const& name() const { return m_name; }
    std::string const& address() const { return m_address; }
    std::uint16_t callersPort() const { return m_ports.callers; }

private:
    std::string m_name;
    std::string m_address;
    daemon_ports m_ports;
    std::string m_settingsFile;
    std::string m_logFile;
    pid_t m_process { -1 };
};

/// A store and daemons that read it.
class deployment {
public:
    deployment(record&, std::size_t daemonCount);
    ~deployment();
    deployment(deployment const&) = delete;
    deployment& operator=(deployment const&) = delete;

    store& objects() { return m_store; }
    daemon& at(std::size_t index) { return *m_daemons.at(index); }
    std::size_t size() const { return m_daemons.size(); }
    void startAll();
    /// Returns whether all daemons count as ready in time.
    bool waitUntilReady(milliseconds timeout = milliseconds { 15'000 }) const;
    void add(leaf const&);

private:
    record& m_record;
    std::string m_folder;
    store m_store;
    std::vector<std::unique_ptr<daemon>> m_daemons;
};

struct answer {
    /// 0 when the connection ended without a complete answer, and -1 when there was none in time.
    int status { 0 };
    message content;
    milliseconds elapsed { 0 };
};

/// Sends a GET request over a new connection and waits for its answer.
answer get(daemon const&, std::string const& target, std::string const& attemptId, std::vector<std::string> const& headerLines = {}, milliseconds deadline = milliseconds { 2000 }, milliseconds patience = milliseconds { 4000 });

/// A configuration like that of a small deployment. Routes and services are added to it.
boost::json::object makeConfiguration(std::uint64_t version, boost::json::array routes, std::vector<std::string> const& services);
/// An idempotent route to one service.
boost::json::object makeRoute(std::string const& name, std::string const& prefix, std::string const& service);

bool isTroubleWanted();

}

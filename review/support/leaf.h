#pragma once

#include "review/support/record.h"
#include "review/support/store.h"
#include <functional>

namespace review {

struct leaf_options {
    std::string id {};
    std::string service {};
    std::string address {};
    std::string zone {};
    unsigned slots { 4 };
    /// Time that the leaf works on a request.
    std::function<milliseconds(http_message const&)> workTime { [](http_message const&) { return milliseconds { 10 }; } };
    /// Body of a success; the default is a few bytes.
    std::function<std::string(http_message const&)> makeBody { [](http_message const&) { return std::string { "record" }; } };
    /// Called before the answer to a request that has run is written. Returns false when it has dealt with the connection itself.
    std::function<bool(connection&, http_message const& request, std::string const& answer)> onAnswer {};
};

/// A run of a request at a leaf.
struct leaf_run {
    std::string attemptId;
    std::string leaf;
    time_point beganAt;
    time_point endedAt {};
    bool wasDropped { false };
    std::string method;
    std::string target;
    std::string body;
};

/// Stand-in of a leaf: registers itself in the store, serves one request at a time on a connection, and drops a request when its
/// connection closes.
class leaf {
public:
    leaf(leaf_options, store&, record&);
    ~leaf();
    leaf(leaf const&) = delete;
    leaf& operator=(leaf const&) = delete;

    std::string const& address() const { return m_address; }
    std::vector<leaf_run> runs();
    std::string const& id() const { return m_options.id; }
    std::string const& zone() const { return m_options.zone; }
    bool isLeaving() const { return m_isLeaving; }
    /// Writes the leaf's entry again, as leafs do at each heartbeat.
    void beat();
    /// Reports that the leaf leaves. It goes on serving, and says so in its answers.
    void drain();
    /// Ends the leaf, as when its process exits.
    void stop();

private:
    void serve(connection client);
    std::string handle(connection& client, http_message const& request);
    void writeEntry();

    leaf_options m_options;
    store& m_store;
    record& m_record;
    int m_listener { -1 };
    std::string m_address;
    std::mutex m_mutex;
    std::condition_variable m_slotFreed;
    unsigned m_running { 0 };
    unsigned m_waiting { 0 };
    std::vector<leaf_run> m_runs;
    std::int64_t m_born { 0 };
    std::atomic<std::int64_t> m_sequence { 0 };
    std::atomic<bool> m_isLeaving { false };
    std::atomic<bool> m_isStopping { false };
    std::thread m_acceptor;
    std::mutex m_threadsMutex;
    std::vector<std::thread> m_threads;
};

}

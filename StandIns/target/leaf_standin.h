#pragma once

#include "Libraries/zinnialedge/wire/http_server.h"
#include "Libraries/zinnialedge/wire/leaf_codec.h"
#include "StandIns/target/leaf_settings.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <random>

namespace zinnialedge::stand_ins::target {

/// Injected faults, which can be changed while the leaf runs.
struct leaf_faults {
    double slowFactor { 1 };
    bool isSheddingAllCalls { false };
    bool isDraining { false };
    /// True when replies carry the identifier of another call.
    bool isReplyingWithOtherCall { false };
    /// True when replies carry the number of another shard.
    bool isReplyingWithOtherShard { false };
    /// True when replies carry a version other than the requested one.
    bool isReplyingWithOtherVersion { false };
    /// True when the leaf closes all its connections at the moment when it should send a reply.
    bool isClosingConnectionsOnReply { false };
    /// Load to report instead of the actual load, in percent.
    std::optional<std::uint64_t> reportedLoadPercentOverride;
};

struct leaf_counts {
    std::uint64_t calls { 0 };
    std::uint64_t runs { 0 };
    std::uint64_t shed { 0 };
    std::uint64_t cancelled { 0 };
    std::uint64_t refusedConnections { 0 };
    std::uint64_t peakConnections { 0 };
};

/// Simulates one leaf over HTTP. Serves POST /search, POST /cancel and GET /status, and for tests POST /faults and
/// GET /counts.
class leaf_standin {
public:
    static errors::error_or<std::unique_ptr<leaf_standin>> create(boost::asio::io_context&, leaf_settings);

    std::uint16_t port() const { return m_server->port(); }
    leaf_settings const& settings() const { return m_settings; }

private:
    struct pending_call {
        wire::leaf_call call;
        wire::http_responder respond;
        std::chrono::steady_clock::time_point deadline;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };

    leaf_standin(boost::asio::io_context&, leaf_settings);
    void handle(wire::http_request const&, wire::http_responder const&);
    void search(wire::http_request const&, wire::http_responder const&);
    std::optional<queries::leaf_refusal> findRefusalReason(wire::leaf_call const&) const;
    void refuse(pending_call const&, queries::leaf_refusal);
    void startQueuedCalls();
    void run(pending_call);
    void finish(std::string const& call);
    void cancel(std::string const& call, wire::http_responder const&);
    void changeFaults(wire::http_request const&, wire::http_responder const&);
    void sendCounts(wire::http_responder const&) const;
    queries::leaf_status status() const;
    std::vector<model::row> makeRows(wire::leaf_call const&) const;
    std::chrono::microseconds sampleServiceTime();

    boost::asio::io_context& m_context;
    leaf_settings m_settings;
    std::unique_ptr<wire::http_server> m_server;
    std::mt19937_64 m_random;
    std::chrono::steady_clock::time_point m_startedAt { std::chrono::steady_clock::now() };
    leaf_faults m_faults;
    leaf_counts m_counts;
    std::deque<pending_call> m_queue;
    std::map<std::string, pending_call> m_running;
    /// Number of executions by ticket.
    std::map<std::string, std::uint64_t> m_runCountByTicket;
};

}

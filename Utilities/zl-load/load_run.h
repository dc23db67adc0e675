#pragma once

#include "Libraries/zinnialedge/wire/http_client.h"
#include "Utilities/zl-load/load_plan.h"
#include "Utilities/zl-load/load_result.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <memory>
#include <random>

namespace zinnialedge::utilities::load {

/// Sends the requests of a plan at their scheduled times, regardless of whether earlier requests have been answered (an
/// open-loop load).
class load_run {
public:
    explicit load_run(load_plan);

    load_result run();

private:
    using clock = std::chrono::steady_clock;

    struct service_addresses {
        std::vector<model::endpoint> daemons;
        std::string ticketPrefix;
        clock::time_point validUntil;
        bool isQueryingDirectory { false };
    };

    struct connection_pool {
        std::vector<std::shared_ptr<wire::http_client>> idle;
    };

    void loadDirectory();
    void queryDirectory(std::string const& service);
    void scheduleNext(std::size_t stream, clock::time_point after);
    void sendRequest(std::size_t stream, clock::time_point intendedTime);
    void recordReply(std::size_t stream, clock::time_point intendedTime, std::string const& id, wire::http_result const&);
    void recordError(std::size_t stream, clock::time_point intendedTime, std::string const& kind);
    void recordForSecondAndStream(std::size_t stream, clock::time_point intendedTime, std::function<void(stream_result&)> const&);
    std::map<std::string, std::uint64_t> readCounters();

    load_plan m_plan;
    boost::asio::io_context m_context;
    std::mt19937_64 m_random;
    std::map<std::string, service_addresses> m_services;
    std::map<model::endpoint, connection_pool> m_pools;
    std::vector<std::unique_ptr<boost::asio::steady_timer>> m_timers;
    load_result m_result;
    clock::time_point m_startedAt;
    std::uint64_t m_lastRequestNumber { 0 };
    std::size_t m_nextDirectoryIndex { 0 };
};

}

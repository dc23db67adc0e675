#pragma once

#include "Libraries/zinnialedge/model/endpoint.h"
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace zinnialedge::tests {

/// What each connection of a crowd sends.
struct crowd_plan {
    model::endpoint endpoint;
    std::size_t connectionCount { 0 };
    std::string start {};
    /// Bytes that are sent again and again after the start.
    std::string repeated {};
    std::size_t maximumRepeatedBytes { 0 };
    /// Bytes that are sent at last.
    std::string end {};
    /// Size of the receive buffer; zero for the system's default.
    int receiveBufferBytes { 0 };
};

/// Callers that open connections, send bytes, read no answer and keep their connections open until the crowd is destroyed.
class crowd {
public:
    explicit crowd(crowd_plan);
    ~crowd();
    crowd(crowd const&) = delete;
    crowd& operator=(crowd const&) = delete;

    /// Waits until each connection has sent all of its bytes or can't send any more.
    void waitUntilSettled() const;
    std::size_t sentByteCount() const { return m_sentByteCount; }

private:
    struct connection;

    void send(std::shared_ptr<connection> const&);

    crowd_plan const m_plan;
    std::string const m_block;
    boost::asio::io_context m_context;
    std::vector<std::shared_ptr<connection>> m_connections;
    std::atomic<std::size_t> m_sentByteCount { 0 };
    std::atomic<std::size_t> m_stepCount { 0 };
    std::atomic<std::size_t> m_unfinishedCount { 0 };
    std::thread m_thread;
};

}

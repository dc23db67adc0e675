#pragma once

#include "Libraries/zinnialedge/model/endpoint.h"
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace zinnialedge::tests {

/// The bytes that a leaf sends for one request, and whether the leaf then ends the connection.
struct scripted_reply {
    std::string bytes;
    /// Whether the leaf closes the connection after the bytes.
    bool shouldClose { false };
    /// Whether the leaf resets the connection after the bytes.
    bool shouldReset { false };
    /// Bytes that the leaf repeats after the others until the daemon closes the connection; empty for none.
    std::string repeatedBytes {};
    /// Time that the leaf takes before it replies or ends.
    std::chrono::milliseconds runTime { 0 };
    /// Time for which the leaf has ended in place of a reply: all its connections are reset, and new ones are refused. Zero for a leaf
    /// that replies.
    std::chrono::milliseconds downTime { 0 };
};

/// A leaf that sends for each request the bytes that the test supplies, which need not be valid HTTP.
class scripted_leaf {
public:
    /// `makeReply` receives the complete request and runs on the leaf's thread.
    explicit scripted_leaf(std::function<scripted_reply(std::string const& request)> makeReply);
    /// `makeReply` also receives the address from which the request came.
    explicit scripted_leaf(std::function<scripted_reply(std::string const& request, std::string const& source)> makeReply);
    ~scripted_leaf();
    scripted_leaf(scripted_leaf const&) = delete;
    scripted_leaf& operator=(scripted_leaf const&) = delete;

    model::endpoint place() const;
    std::vector<std::string> requests() const;
    std::size_t connectionCount() const;
    /// Returns how often the leaf has ended.
    std::size_t endCount() const { return m_endCount; }
    /// Returns whether the leaf accepts connections.
    bool isListening() const { return m_isListening; }
    /// Resets all connections and refuses new ones for a time.
    void end(std::chrono::milliseconds downTime);
    /// Returns the number of repeated bytes that the leaf could write, of all connections together.
    std::size_t repeatedByteCount() const { return m_repeatedByteCount; }

private:
    struct connection;

    void acceptNextConnection();
    void readRequests(std::shared_ptr<connection> const&);
    void answerCompleteRequests(std::shared_ptr<connection> const&);
    /// Returns whether the connection stays open for further requests.
    bool performReply(std::shared_ptr<connection> const&, scripted_reply const&);
    void listenAfter(std::chrono::milliseconds delay);
    void endNow(std::chrono::milliseconds downTime);
    void repeatBytes(std::shared_ptr<connection> const&, std::shared_ptr<std::string const> const& bytes);

    std::function<scripted_reply(std::string const&, std::string const&)> m_makeReply;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_endpoint;
    std::vector<std::weak_ptr<connection>> m_openConnections;
    std::atomic<std::size_t> m_endCount { 0 };
    std::atomic<bool> m_isListening { true };
    mutable std::mutex m_mutex;
    std::vector<std::string> m_requests;
    std::size_t m_connectionCount { 0 };
    std::atomic<std::size_t> m_repeatedByteCount { 0 };
    std::thread m_thread;
};

/// Returns the value of a header in the text of a request or reply, or an empty string.
std::string rawHeaderValue(std::string const& request, std::string const& name);

}

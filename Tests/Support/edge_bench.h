#pragma once

#include "Services/traffic/traffic_service.h"
#include "Tests/Support/scripted_leaf.h"

namespace zinnialedge::tests {

/// An HTTP answer as the caller receives it.
struct caller_answer {
    int status { 0 };
    std::string head;
    std::string body;
    /// Whether the connection ended before the complete answer had arrived.
    bool isTruncated { false };

    std::string header(std::string const& name) const { return rawHeaderValue(head, name); }
};

/// The traffic service of one daemon with the platform's header names, in the test process and on loopback.
class edge_traffic_harness {
public:
    edge_traffic_harness();
    ~edge_traffic_harness();
    edge_traffic_harness(edge_traffic_harness const&) = delete;
    edge_traffic_harness& operator=(edge_traffic_harness const&) = delete;

    void declare(std::uint64_t version, std::vector<forwarding::route>);
    void registerLeafs(std::vector<forwarding::leaf_registration>);
    /// Sends raw bytes over a new connection and reads one answer.
    caller_answer send(std::string const& bytes);
    /// Sends a GET request with the attempt id and a timeout of 1 s.
    caller_answer get(std::string const& path, std::string const& attemptId);
    caller_answer post(std::string const& path, std::string const& attemptId, std::string const& body);

private:
    void waitUntilInboxDrained();

    std::shared_ptr<services::traffic::traffic_service> m_traffic;
};

/// A caller connection that carries one request after another until the connection ends or the daemon sends
/// "Connection: close". The next request then opens a new connection.
class persistent_connection {
public:
    explicit persistent_connection(model::endpoint);

    caller_answer ask(std::string const& bytes);

private:
    void readAnswer(caller_answer&);

    model::endpoint m_endpoint;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
    /// Bytes received after the end of the last answer.
    std::string m_bufferedBytes;
};

/// Returns the bytes of a GET request with an attempt id and a timeout.
std::string formatGetRequest(std::string const& path, std::string const& attemptId, int timeoutMs = 1000);
/// Returns the bytes of a POST request with an attempt id and a timeout of 1 s.
std::string formatPostRequest(std::string const& path, std::string const& attemptId, std::string const& body);

/// Sends a request over a new connection and reads the answer.
caller_answer sendOverNewConnection(model::endpoint const&, std::string const& bytes);
forwarding::leaf_registration makeRegistration(std::string const& id, std::string const& service, scripted_leaf const&);
/// Returns a complete leaf reply to the request, with the seal and the attempt id that the daemon expects.
std::string sealedReply(std::string const& request, std::string const& body, std::string const& extraHeaders = {});

}

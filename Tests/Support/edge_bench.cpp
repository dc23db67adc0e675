#include "Tests/Support/edge_bench.h"

#include "platform/edge_codec.h"
#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <future>

namespace zinnialedge::tests {

namespace asio = boost::asio;
using asio::ip::tcp;

edge_traffic_harness::edge_traffic_harness()
{
    services::traffic::traffic_settings settings;
    settings.callers = { "127.0.0.1", 0 };
    settings.relays = { "127.0.0.1", 0 };
    settings.engine.dataCentre = "here";
    auto createdService = services::traffic::traffic_service::create(settings, platform::makeEdgeProtocol(), kernel::makeSeededRandom(3));
    VERIFY(createdService.has_value());
    m_traffic = *createdService;
    m_traffic->start();
}

edge_traffic_harness::~edge_traffic_harness()
{
    m_traffic->stop();
}

void edge_traffic_harness::waitUntilInboxDrained()
{
    // The worker thread drains the inbox ring before it runs a task that was posted later.
    std::promise<void> drained;
    VERIFY(m_traffic->requestState([&](std::string const&) { drained.set_value(); }));
    drained.get_future().wait();
}

void edge_traffic_harness::declare(std::uint64_t version, std::vector<forwarding::route> routes)
{
    VERIFY(m_traffic->inbox().push(std::make_shared<forwarding::route_table const>(forwarding::route_declarations { version, std::move(routes), {}, {} })));
    waitUntilInboxDrained();
}

void edge_traffic_harness::registerLeafs(std::vector<forwarding::leaf_registration> leafs)
{
    VERIFY(m_traffic->inbox().push(services::traffic::leafs_changed { std::move(leafs) }));
    waitUntilInboxDrained();
}

persistent_connection::persistent_connection(model::endpoint endpoint)
    : m_endpoint(std::move(endpoint))
    , m_socket(m_context)
{
}

caller_answer persistent_connection::ask(std::string const& bytes)
{
    caller_answer answer;
    boost::system::error_code failure;
    if (!m_socket.is_open()) {
        m_bufferedBytes.clear();
        m_socket.connect({ asio::ip::make_address(m_endpoint.address), m_endpoint.port }, failure);
        if (failure) {
            m_socket.close(failure);
            answer.isTruncated = true;
            return answer;
        }
    }
    asio::write(m_socket, asio::buffer(bytes), failure);
    readAnswer(answer);
    if (answer.isTruncated || answer.header("Connection") == "close")
        m_socket.close(failure);
    return answer;
}

void persistent_connection::readAnswer(caller_answer& answer)
{
    std::array<char, 4096> buffer {};
    std::size_t bodyLength = 0;
    while (true) {
        auto const headEnd = m_bufferedBytes.find("\r\n\r\n");
        if (headEnd != std::string::npos && answer.head.empty()) {
            answer.head = m_bufferedBytes.substr(0, headEnd + 4);
            auto const length = rawHeaderValue(answer.head, "Content-Length");
            std::from_chars(length.data(), length.data() + length.size(), bodyLength);
            std::from_chars(answer.head.data() + 9, answer.head.data() + 12, answer.status);
        }
        if (!answer.head.empty() && m_bufferedBytes.size() >= answer.head.size() + bodyLength)
            break;
        boost::system::error_code failure;
        auto const count = m_socket.read_some(asio::buffer(buffer), failure);
        if (failure) {
            answer.isTruncated = true;
            break;
        }
        m_bufferedBytes.append(buffer.data(), count);
    }
    answer.body = m_bufferedBytes.substr(std::min(answer.head.size(), m_bufferedBytes.size()), bodyLength);
    m_bufferedBytes.erase(0, answer.head.size() + bodyLength);
}

caller_answer sendOverNewConnection(model::endpoint const& endpoint, std::string const& bytes)
{
    return persistent_connection { endpoint }.ask(bytes);
}

caller_answer edge_traffic_harness::send(std::string const& bytes)
{
    return sendOverNewConnection({ "127.0.0.1", m_traffic->port() }, bytes);
}

std::string formatGetRequest(std::string const& path, std::string const& attemptId, int timeoutMs)
{
    return "GET " + path + " HTTP/1.1\r\nHost: host\r\nZinnialedge-Attempt-Id: " + attemptId + "\r\nZinnialedge-Deadline-Ms: " + std::to_string(timeoutMs) + "\r\n\r\n";
}

std::string formatPostRequest(std::string const& path, std::string const& attemptId, std::string const& body)
{
    return "POST " + path + " HTTP/1.1\r\nHost: host\r\nZinnialedge-Attempt-Id: " + attemptId + "\r\nZinnialedge-Deadline-Ms: 1000\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

caller_answer edge_traffic_harness::get(std::string const& path, std::string const& attemptId)
{
    return send(formatGetRequest(path, attemptId));
}

caller_answer edge_traffic_harness::post(std::string const& path, std::string const& attemptId, std::string const& body)
{
    return send(formatPostRequest(path, attemptId, body));
}

forwarding::leaf_registration makeRegistration(std::string const& id, std::string const& service, scripted_leaf const& leaf)
{
    return { id, 1, service, leaf.place(), "here", 2, false, {} };
}

std::string sealedReply(std::string const& request, std::string const& body, std::string const& extraHeaders)
{
    return "HTTP/1.1 200 OK\r\nZinnialedge-Server-Seal: seal-" + rawHeaderValue(request, "Zinnialedge-Target-Instance")
        + "\r\nZinnialedge-Attempt-Id: " + rawHeaderValue(request, "Zinnialedge-Attempt-Id") + "\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n" + extraHeaders + "\r\n" + body;
}

}

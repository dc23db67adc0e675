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

edge_bench::edge_bench()
{
    services::traffic::traffic_settings settings;
    settings.callers = { "127.0.0.1", 0 };
    settings.relays = { "127.0.0.1", 0 };
    settings.engine.dataCentre = "here";
    auto made = services::traffic::traffic_service::create(settings, platform::makeEdgeProtocol(), kernel::makeSeededRandom(3));
    VERIFY(made.has_value());
    m_traffic = *made;
    m_traffic->start();
}

edge_bench::~edge_bench()
{
    m_traffic->stop();
}

void edge_bench::waitUntilTold()
{
    // The worker thread drains the inbox ring before it runs a task that was posted later.
    std::promise<void> done;
    VERIFY(m_traffic->requestState([&](std::string const&) { done.set_value(); }));
    done.get_future().wait();
}

void edge_bench::declare(std::uint64_t version, std::vector<forwarding::route> routes)
{
    VERIFY(m_traffic->inbox().push(std::make_shared<forwarding::route_table const>(forwarding::route_declarations { version, std::move(routes), {}, {} })));
    waitUntilTold();
}

void edge_bench::registerLeafs(std::vector<forwarding::leaf_registration> leafs)
{
    VERIFY(m_traffic->inbox().push(services::traffic::leafs_changed { std::move(leafs) }));
    waitUntilTold();
}

kept_connection::kept_connection(model::endpoint place)
    : m_place(std::move(place))
    , m_socket(m_context)
{
}

raw_answer kept_connection::ask(std::string const& bytes)
{
    raw_answer answer;
    boost::system::error_code refused;
    if (!m_socket.is_open()) {
        m_received.clear();
        m_socket.connect({ asio::ip::make_address(m_place.address), m_place.port }, refused);
        if (refused) {
            m_socket.close(refused);
            answer.isCut = true;
            return answer;
        }
    }
    asio::write(m_socket, asio::buffer(bytes), refused);
    read(answer);
    if (answer.isCut || answer.header("Connection") == "close")
        m_socket.close(refused);
    return answer;
}

void kept_connection::read(raw_answer& answer)
{
    std::array<char, 4096> buffer {};
    std::size_t bodyLength = 0;
    while (true) {
        auto const headEnd = m_received.find("\r\n\r\n");
        if (headEnd != std::string::npos && answer.head.empty()) {
            answer.head = m_received.substr(0, headEnd + 4);
            auto const length = rawHeader(answer.head, "Content-Length");
            std::from_chars(length.data(), length.data() + length.size(), bodyLength);
            std::from_chars(answer.head.data() + 9, answer.head.data() + 12, answer.status);
        }
        if (!answer.head.empty() && m_received.size() >= answer.head.size() + bodyLength)
            break;
        boost::system::error_code failure;
        auto const count = m_socket.read_some(asio::buffer(buffer), failure);
        if (failure) {
            answer.isCut = true;
            break;
        }
        m_received.append(buffer.data(), count);
    }
    answer.body = m_received.substr(std::min(answer.head.size(), m_received.size()), bodyLength);
    m_received.erase(0, answer.head.size() + bodyLength);
}

raw_answer askOnce(model::endpoint const& place, std::string const& bytes)
{
    return kept_connection { place }.ask(bytes);
}

raw_answer edge_bench::send(std::string const& bytes)
{
    return askOnce({ "127.0.0.1", m_traffic->port() }, bytes);
}

std::string getBytes(std::string const& path, std::string const& attemptId, int patienceMs)
{
    return "GET " + path + " HTTP/1.1\r\nHost: host\r\nZinnialedge-Attempt-Id: " + attemptId + "\r\nZinnialedge-Deadline-Ms: " + std::to_string(patienceMs) + "\r\n\r\n";
}

std::string postBytes(std::string const& path, std::string const& attemptId, std::string const& body)
{
    return "POST " + path + " HTTP/1.1\r\nHost: host\r\nZinnialedge-Attempt-Id: " + attemptId + "\r\nZinnialedge-Deadline-Ms: 1000\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

raw_answer edge_bench::get(std::string const& path, std::string const& attemptId)
{
    return send(getBytes(path, attemptId));
}

raw_answer edge_bench::post(std::string const& path, std::string const& attemptId, std::string const& body)
{
    return send(postBytes(path, attemptId, body));
}

forwarding::leaf_registration registrationOf(std::string const& id, std::string const& service, raw_leaf const& leaf)
{
    return { id, 1, service, leaf.place(), "here", 2, false, {} };
}

std::string sealedReply(std::string const& request, std::string const& body, std::string const& moreHeaders)
{
    return "HTTP/1.1 200 OK\r\nZinnialedge-Server-Seal: seal-" + rawHeader(request, "Zinnialedge-Target-Instance")
        + "\r\nZinnialedge-Attempt-Id: " + rawHeader(request, "Zinnialedge-Attempt-Id") + "\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n" + moreHeaders + "\r\n" + body;
}

}

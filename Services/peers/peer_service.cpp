#include "Services/peers/peer_service.h"

#include "Kernel/try.h"
#include "Libraries/zinnialedge/wire/membership_codec.h"
#include "Libraries/zinnialedge/wire/tcp_listener.h"
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

namespace zinnialedge::services::peers {

namespace asio = boost::asio;
using boost::system::error_code;
using errors::error_kind;
using tcp = asio::ip::tcp;
using udp = asio::ip::udp;

static constexpr std::size_t actionCapacity = 16'384;
static constexpr int bindAttempts = 20;
static constexpr std::chrono::milliseconds overloadRetryAfter { 50 };

errors::error_or<std::shared_ptr<peer_service>> peer_service::create(model::endpoint const& place, decisions::decision_service& decisions)
{
    std::shared_ptr<peer_service> made { new peer_service(decisions) };
    if (auto listening = made->listen(place); !listening)
        return tl::unexpected(listening.error());
    return made;
}

peer_service::peer_service(decisions::decision_service& decisions)
    : m_duty(serviceName)
    , m_decisions(decisions)
    , m_acceptor(m_duty.context())
    , m_datagrams(m_duty.context())
{
    m_decisions.connectPeers(m_duty.makeInbox<decisions::peer_action>(actionCapacity, [this](decisions::peer_action&& action) { handle(std::move(action)); }));
}

errors::error_or<void> peer_service::bind(model::endpoint const& place)
{
    TRY_VOID(wire::listenAt(m_acceptor, place));
    error_code failure;
    udp::endpoint const local { asio::ip::make_address(place.address), m_acceptor.local_endpoint(failure).port() };
    if (!failure)
        m_datagrams.open(local.protocol(), failure);
    if (!failure)
        m_datagrams.bind(local, failure);
    if (!failure)
        m_datagrams.non_blocking(true, failure);
    if (failure)
        return errors::fail(error_kind::internal, "could not open a UDP socket at " + toString(place) + ": " + failure.message());
    return {};
}

errors::error_or<void> peer_service::listen(model::endpoint const& place)
{
    auto bound = bind(place);
    // The TCP port that the system selected may be in use for UDP.
    for (int attempt = 1; !bound && place.port == 0 && attempt < bindAttempts; ++attempt) {
        error_code ignored;
        m_acceptor.close(ignored);
        m_datagrams.close(ignored);
        bound = bind(place);
    }
    return bound;
}

std::uint16_t peer_service::port() const
{
    error_code ignored;
    return m_acceptor.local_endpoint(ignored).port();
}

void peer_service::start()
{
    accept();
    receiveDatagram();
    m_duty.start();
}

void peer_service::accept()
{
    m_acceptor.async_accept([this](error_code failure, tcp::socket socket) {
        if (failure == asio::error::operation_aborted)
            return;
        if (!failure)
            serve(std::move(socket));
        accept();
    });
}

void peer_service::serve(tcp::socket socket)
{
    // The hook holds a weak reference, because the connection owns its hooks.
    auto const self = std::make_shared<std::weak_ptr<peer_connection>>();
    auto const received = [this, self](wire::peer_message message) {
        if (auto const origin = self->lock())
            handleInbound(origin, std::move(message));
    };
    auto const made = std::make_shared<peer_connection>(std::move(socket), peer_connection_hooks { received, [] { } });
    *self = made;
    made->run();
}

template <typename T>
void peer_service::passOn(T&& content)
{
    // Ring slots for answers to relayed queries stay reserved; the sender repeats dropped messages.
    auto& inbox = m_decisions.peerInbox();
    if (inbox.freeSlots() <= m_relayed.size() + 1 || !inbox.push(std::forward<T>(content)))
        ++m_droppedMessages;
}

void peer_service::handleInbound(connection const& origin, wire::peer_message message)
{
    if (auto* object = std::get_if<configuration::stored_object>(&message.content)) {
        passOn(std::move(*object));
        return;
    }
    if (auto* asked = std::get_if<configuration::objects_asked>(&message.content)) {
        passOn(std::move(*asked));
        return;
    }
    auto* request = std::get_if<model::query_request>(&message.content);
    if (!request) {
        origin->close();
        return;
    }
    if (m_isRefusing && request->ticket.empty()) {
        origin->send({ message.call, model::answer_or_error { tl::unexpected(errors::error { error_kind::leaving, "the daemon that received the relayed query is stopping", std::chrono::milliseconds { 0 } }) } });
        return;
    }
    ++m_inboundTotal;
    auto const token = decisions::peerTokenBit | ++m_lastInbound;
    m_inbound.emplace(token, inbound_relay { origin, message.call });
    // Ring slots for answers to the queries that this daemon relayed stay reserved.
    auto& inbox = m_decisions.peerInbox();
    bool const hasRoom = m_inbound.size() < actionCapacity && inbox.freeSlots() > m_relayed.size() + 1;
    if (hasRoom && inbox.push(queries::query_arrived { token, std::move(*request) }))
        return;
    m_inbound.erase(token);
    origin->send({ message.call, model::answer_or_error { tl::unexpected(errors::error { error_kind::overloaded, "too many requests are waiting in the daemon that received the relayed query", overloadRetryAfter }) } });
}

void peer_service::perform(decisions::push_object const& pushed)
{
    connectTo(pushed.place)->send({ 0, pushed.object });
}

void peer_service::perform(decisions::ask_objects const& asking)
{
    connectTo(asking.place)->send({ 0, asking.asked });
}

void peer_service::perform(membership::send_datagram const& sent)
{
    auto const bytes = wire::encodeDatagram(sent.content);
    error_code failure;
    auto const address = asio::ip::make_address(sent.place.address, failure);
    if (!failure)
        m_datagrams.send_to(asio::buffer(bytes), { address, sent.place.port }, 0, failure);
    ++m_datagramsSent;
    m_datagramBytesSent += bytes.size();
}

void peer_service::receiveDatagram()
{
    m_datagrams.async_receive_from(asio::buffer(m_datagram), m_datagramOrigin, [this](error_code failure, std::size_t size) {
        if (failure == asio::error::operation_aborted)
            return;
        ++m_datagramsReceived;
        m_datagramBytesReceived += size;
        auto content = failure ? errors::fail(error_kind::internal, failure.message()) : wire::decodeDatagram({ m_datagram.data(), size });
        if (content)
            passOn(membership::datagram_received { { m_datagramOrigin.address().to_string(), m_datagramOrigin.port() }, std::move(*content) });
        else
            ++m_droppedMessages;
        receiveDatagram();
    });
}

void peer_service::perform(decisions::drop_peer const& dropped)
{
    auto const found = m_connections.find(dropped.place);
    if (found == m_connections.end())
        return;
    auto const kept = found->second;
    kept->close();
}

void peer_service::handle(decisions::peer_action&& action)
{
    std::visit([this](auto const& each) { perform(each); }, action);
}

void peer_service::perform(queries::answer_caller const& given)
{
    auto const found = m_inbound.find(given.caller);
    VERIFY(found != m_inbound.end());
    auto const inbound = found->second;
    m_inbound.erase(found);
    if (auto const origin = inbound.origin.lock())
        origin->send({ inbound.call, given.result });
}

peer_service::connection peer_service::connectTo(model::endpoint const& place)
{
    auto& known = m_connections[place];
    if (!known) {
        peer_connection_hooks hooks {
            [this](wire::peer_message message) { handleAnswer(std::move(message)); },
            [this, place] { handleClosed(place); },
        };
        known = std::make_shared<peer_connection>(tcp::socket { m_duty.context() }, std::move(hooks));
        known->connect(place);
    }
    return known;
}

void peer_service::perform(decisions::relay_to_daemon const& relayed)
{
    ++m_relays;
    auto const call = ++m_lastCall;
    m_relayed.emplace(call, relayed_call { relayed.caller, relayed.place });
    m_relayOfCaller.emplace(relayed.caller, call);
    connectTo(relayed.place)->send({ call, relayed.request });
}

void peer_service::perform(queries::abandon_relay const& abandoned)
{
    auto const found = m_relayOfCaller.find(abandoned.caller);
    if (found == m_relayOfCaller.end())
        return;
    m_relayed.erase(found->second);
    m_relayOfCaller.erase(found);
}

void peer_service::handleAnswer(wire::peer_message message)
{
    if (auto* result = std::get_if<model::answer_or_error>(&message.content))
        finishRelay(message.call, std::move(*result));
}

void peer_service::handleClosed(model::endpoint const& place)
{
    m_connections.erase(place);
    std::vector<std::uint64_t> lost;
    for (auto const& [call, relayed] : m_relayed) {
        if (relayed.place == place)
            lost.push_back(call);
    }
    // The other daemon may have executed the relayed queries, or earlier requests with the same tickets.
    for (auto const call : lost)
        finishRelay(call, errors::fail(error_kind::outcome_unknown, "the connection to the daemon named in the ticket was closed"));
}

void peer_service::finishRelay(std::uint64_t call, model::answer_or_error result)
{
    auto const found = m_relayed.find(call);
    if (found == m_relayed.end())
        return;
    queries::relay_ended ended { found->second.caller, std::move(result) };
    m_relayOfCaller.erase(found->second.caller);
    m_relayed.erase(found);
    bool const isTaken = m_decisions.peerInbox().push(std::move(ended));
    VERIFY(isTaken);
}

bool peer_service::beginRefusing()
{
    return m_duty.post([this] { m_isRefusing = true; });
}

bool peer_service::requestInboundCount(std::function<void(std::size_t)> receiver)
{
    return m_duty.post([this, receiver = std::move(receiver)] { receiver(m_inbound.size()); });
}

bool peer_service::requestState(kernel::state_receiver receiver)
{
    return m_duty.post([this, receiver = std::move(receiver)] {
        receiver(boost::json::serialize(boost::json::object {
            { "connections", m_connections.size() },
            { "relays", m_relays },
            { "inbound_relays", m_inboundTotal },
            { "dropped_messages", m_droppedMessages },
            { "datagrams_sent", m_datagramsSent },
            { "datagram_bytes_sent", m_datagramBytesSent },
            { "datagrams_received", m_datagramsReceived },
            { "datagram_bytes_received", m_datagramBytesReceived },
            { "relays_in_flight", m_relayed.size() },
            { "inbound_in_flight", m_inbound.size() },
        }));
    });
}

}

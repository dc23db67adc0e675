#include "Services/peers/peer_service.h"

#include "Kernel/try.h"
#include "Libraries/zinnialedge/wire/membership_codec.h"
#include "Libraries/zinnialedge/wire/tcp_listener.h"
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <set>

namespace zinnialedge::services::peers {

namespace asio = boost::asio;
using boost::system::error_code;
using errors::error_kind;
using tcp = asio::ip::tcp;
using udp = asio::ip::udp;

static constexpr std::size_t actionRingCapacity = 16'384;
static constexpr int maximumBindAttempts = 20;
static constexpr std::chrono::milliseconds overloadRetryAfter { 50 };
/// Number of incoming connections above which the idlest one is closed for a new one; its daemon opens another when it needs one.
static constexpr std::size_t maximumIncomingConnections = 256;
/// Memory of the messages that have come in part, on all incoming connections together.
static constexpr std::size_t incompleteMessageBytes = 32U << 20U;
/// Delay before the next accept after a failed accept.
static constexpr std::chrono::milliseconds acceptRetryDelay { 50 };

errors::error_or<std::shared_ptr<peer_service>> peer_service::create(model::endpoint const& endpoint, decisions::decision_service& decisionService)
{
    std::shared_ptr<peer_service> created { new peer_service(decisionService) };
    if (auto listenResult = created->listen(endpoint); !listenResult)
        return tl::unexpected(listenResult.error());
    return created;
}

peer_service::peer_service(decisions::decision_service& decisionService)
    : m_workerThread(serviceName)
    , m_decisionService(decisionService)
    , m_acceptor(m_workerThread.context())
    , m_datagramSocket(m_workerThread.context())
    , m_incompleteMessages(std::make_shared<limits::memory_budget>(limits::memory_budget { .limit = incompleteMessageBytes }))
{
    m_decisionService.setPeerOutbox(m_workerThread.createInbox<decisions::peer_action>(actionRingCapacity, [this](decisions::peer_action&& action) { handle(std::move(action)); }));
}

errors::error_or<void> peer_service::bindSockets(model::endpoint const& endpoint)
{
    TRY_VOID(wire::startListening(m_acceptor, endpoint));
    error_code failure;
    udp::endpoint const local { asio::ip::make_address(endpoint.address), m_acceptor.local_endpoint(failure).port() };
    if (!failure)
        m_datagramSocket.open(local.protocol(), failure);
    if (!failure)
        m_datagramSocket.bind(local, failure);
    if (!failure)
        m_datagramSocket.non_blocking(true, failure);
    if (failure)
        return errors::makeError(error_kind::internal, "could not open a UDP socket at " + toString(endpoint) + ": " + failure.message());
    return {};
}

errors::error_or<void> peer_service::listen(model::endpoint const& endpoint)
{
    auto bound = bindSockets(endpoint);
    // The TCP port that the system selected may be in use for UDP.
    for (int attempt = 1; !bound && endpoint.port == 0 && attempt < maximumBindAttempts; ++attempt) {
        error_code ignored;
        m_acceptor.close(ignored);
        m_datagramSocket.close(ignored);
        bound = bindSockets(endpoint);
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
    acceptNextConnection();
    receiveDatagram();
    m_workerThread.start();
}

void peer_service::acceptNextConnection()
{
    m_acceptor.async_accept([this](error_code failure, tcp::socket socket) {
        if (failure == asio::error::operation_aborted)
            return;
        if (!failure) {
            startConnection(std::move(socket));
            acceptNextConnection();
            return;
        }
        // The process is out of file descriptors, for example; open connections will release theirs.
        auto const pause = std::make_shared<asio::steady_timer>(m_workerThread.context(), acceptRetryDelay);
        pause->async_wait([this, pause](error_code) { acceptNextConnection(); });
    });
}

void peer_service::startConnection(tcp::socket socket)
{
    // The hook holds a weak reference, because the connection owns its hooks.
    auto const self = std::make_shared<std::weak_ptr<peer_connection>>();
    auto const received = [this, self](wire::peer_message message) {
        if (auto const origin = self->lock())
            handlePeerRequest(origin, std::move(message));
    };
    if (m_incomingConnections.size() >= maximumIncomingConnections)
        closeIdlestConnection();
    auto const pointer = std::make_shared<peer_connection*>(nullptr);
    auto const created = std::make_shared<peer_connection>(std::move(socket), peer_connection_hooks { received, [this, pointer] { m_incomingConnections.erase(*pointer); }, m_incompleteMessages, [this] { relieveMemory(); } });
    *self = created;
    *pointer = created.get();
    m_incomingConnections.emplace(created.get(), created);
    created->startReading();
}

void peer_service::closeIdlestConnection()
{
    std::set<connection> busy;
    for (auto const& [token, relay] : m_incomingRelays)
        busy.insert(relay.origin.lock());
    connection idlest;
    for (auto const& [pointer, each] : m_incomingConnections) {
        auto const candidate = each.lock();
        if (candidate && !busy.contains(candidate) && (!idlest || candidate->idleSince() < idlest->idleSince()))
            idlest = candidate;
    }
    if (idlest)
        idlest->close();
}

void peer_service::relieveMemory()
{
    std::vector<connection> incomplete;
    for (auto const& [pointer, each] : m_incomingConnections) {
        if (pointer->incompleteBytes() > 0)
            incomplete.push_back(each.lock());
    }
    std::sort(incomplete.begin(), incomplete.end(), [](auto const& left, auto const& right) { return left->idleSince() < right->idleSince(); });
    for (auto const& each : incomplete) {
        if (!m_incompleteMessages->isExceeded())
            return;
        if (each)
            each->close();
    }
}

template <typename T>
void peer_service::forwardToDecisionService(T&& content)
{
    // Ring slots for answers to relayed queries stay reserved; the sender repeats dropped messages.
    auto& inbox = m_decisionService.peerInbox();
    if (inbox.freeSlotCount() <= m_outgoingRelays.size() + 1 || !inbox.push(std::forward<T>(content)))
        ++m_droppedMessageCount;
}

void peer_service::handlePeerRequest(connection const& origin, wire::peer_message message)
{
    if (auto* object = std::get_if<configuration::stored_object>(&message.content)) {
        forwardToDecisionService(std::move(*object));
        return;
    }
    if (auto* objectRequest = std::get_if<configuration::objects_request>(&message.content)) {
        forwardToDecisionService(std::move(*objectRequest));
        return;
    }
    auto* request = std::get_if<model::query_request>(&message.content);
    if (!request) {
        origin->close();
        return;
    }
    if (m_isRejectingQueries && request->ticket.empty()) {
        origin->send({ message.call, model::answer_or_error { tl::unexpected(errors::error { error_kind::leaving, "the daemon that received the relayed query is stopping", std::chrono::milliseconds { 0 } }) } });
        return;
    }
    ++m_incomingRelayCount;
    auto const token = decisions::peerTokenBit | ++m_lastIncomingRelay;
    m_incomingRelays.emplace(token, incoming_relay { origin, message.call });
    // Ring slots for answers to the queries that this daemon relayed stay reserved.
    auto& inbox = m_decisionService.peerInbox();
    bool const hasCapacity = m_incomingRelays.size() < actionRingCapacity && inbox.freeSlotCount() > m_outgoingRelays.size() + 1;
    if (hasCapacity && inbox.push(queries::query_arrived { token, std::move(*request) }))
        return;
    m_incomingRelays.erase(token);
    origin->send({ message.call, model::answer_or_error { tl::unexpected(errors::error { error_kind::overloaded, "too many requests are waiting in the daemon that received the relayed query", overloadRetryAfter }) } });
}

void peer_service::perform(decisions::push_object const& pushed)
{
    findOrOpenConnection(pushed.endpoint)->send({ 0, pushed.object });
}

void peer_service::perform(decisions::request_objects const& requested)
{
    findOrOpenConnection(requested.endpoint)->send({ 0, requested.request });
}

void peer_service::perform(membership::send_datagram const& sent)
{
    auto const bytes = wire::encodeDatagram(sent.content);
    error_code failure;
    auto const address = asio::ip::make_address(sent.endpoint.address, failure);
    if (!failure)
        m_datagramSocket.send_to(asio::buffer(bytes), { address, sent.endpoint.port }, 0, failure);
    ++m_sentDatagramCount;
    m_sentDatagramBytes += bytes.size();
}

void peer_service::receiveDatagram()
{
    m_datagramSocket.async_receive_from(asio::buffer(m_datagramBuffer), m_datagramSender, [this](error_code failure, std::size_t size) {
        if (failure == asio::error::operation_aborted)
            return;
        ++m_receivedDatagramCount;
        m_receivedDatagramBytes += size;
        auto content = failure ? errors::makeError(error_kind::internal, failure.message()) : wire::decodeDatagram({ m_datagramBuffer.data(), size });
        if (content)
            forwardToDecisionService(membership::datagram_received { { m_datagramSender.address().to_string(), m_datagramSender.port() }, std::move(*content) });
        else
            ++m_droppedMessageCount;
        receiveDatagram();
    });
}

void peer_service::perform(decisions::close_peer_connection const& dropped)
{
    auto const found = m_connections.find(dropped.endpoint);
    if (found == m_connections.end())
        return;
    auto const keptAlive = found->second;
    keptAlive->close();
}

void peer_service::handle(decisions::peer_action&& action)
{
    std::visit([this](auto const& each) { perform(each); }, action);
}

void peer_service::perform(queries::answer_caller const& action)
{
    auto const found = m_incomingRelays.find(action.caller);
    VERIFY(found != m_incomingRelays.end());
    auto const inbound = found->second;
    m_incomingRelays.erase(found);
    if (auto const origin = inbound.origin.lock())
        origin->send({ inbound.call, action.result });
}

peer_service::connection peer_service::findOrOpenConnection(model::endpoint const& endpoint)
{
    auto& peerConnection = m_connections[endpoint];
    if (!peerConnection) {
        peer_connection_hooks hooks {
            [this](wire::peer_message message) { handlePeerReply(std::move(message)); },
            [this, endpoint] { handleConnectionClosed(endpoint); },
        };
        peerConnection = std::make_shared<peer_connection>(tcp::socket { m_workerThread.context() }, std::move(hooks));
        peerConnection->connect(endpoint);
    }
    return peerConnection;
}

void peer_service::perform(decisions::relay_to_daemon const& relayed)
{
    ++m_outgoingRelayCount;
    auto const call = ++m_lastRelayCall;
    m_outgoingRelays.emplace(call, outgoing_relay { relayed.caller, relayed.endpoint });
    m_relayCallByCaller.emplace(relayed.caller, call);
    findOrOpenConnection(relayed.endpoint)->send({ call, relayed.request });
}

void peer_service::perform(queries::abandon_relay const& abandoned)
{
    auto const found = m_relayCallByCaller.find(abandoned.caller);
    if (found == m_relayCallByCaller.end())
        return;
    m_outgoingRelays.erase(found->second);
    m_relayCallByCaller.erase(found);
}

void peer_service::handlePeerReply(wire::peer_message message)
{
    if (auto* result = std::get_if<model::answer_or_error>(&message.content))
        completeRelay(message.call, std::move(*result));
}

void peer_service::handleConnectionClosed(model::endpoint const& endpoint)
{
    m_connections.erase(endpoint);
    std::vector<std::uint64_t> lostCalls;
    for (auto const& [call, relayed] : m_outgoingRelays) {
        if (relayed.endpoint == endpoint)
            lostCalls.push_back(call);
    }
    // The other daemon may have executed the relayed queries, or earlier requests with the same tickets.
    for (auto const call : lostCalls)
        completeRelay(call, errors::makeError(error_kind::outcome_unknown, "the connection to the daemon named in the ticket was closed"));
}

void peer_service::completeRelay(std::uint64_t call, model::answer_or_error result)
{
    auto const found = m_outgoingRelays.find(call);
    if (found == m_outgoingRelays.end())
        return;
    queries::relay_ended ended { found->second.caller, std::move(result) };
    m_relayCallByCaller.erase(found->second.caller);
    m_outgoingRelays.erase(found);
    bool const isEnqueued = m_decisionService.peerInbox().push(std::move(ended));
    VERIFY(isEnqueued);
}

bool peer_service::startRejectingQueries()
{
    return m_workerThread.post([this] { m_isRejectingQueries = true; });
}

bool peer_service::requestIncomingRelayCount(std::function<void(std::size_t)> receiver)
{
    return m_workerThread.post([this, receiver = std::move(receiver)] { receiver(m_incomingRelays.size()); });
}

bool peer_service::requestState(kernel::text_receiver receiver)
{
    return m_workerThread.post([this, receiver = std::move(receiver)] {
        receiver(boost::json::serialize(boost::json::object {
            { "connections", m_connections.size() },
            { "relays", m_outgoingRelayCount },
            { "inbound_relays", m_incomingRelayCount },
            { "dropped_messages", m_droppedMessageCount },
            { "datagrams_sent", m_sentDatagramCount },
            { "datagram_bytes_sent", m_sentDatagramBytes },
            { "datagrams_received", m_receivedDatagramCount },
            { "datagram_bytes_received", m_receivedDatagramBytes },
            { "relays_in_flight", m_outgoingRelays.size() },
            { "inbound_in_flight", m_incomingRelays.size() },
        }));
    });
}

}

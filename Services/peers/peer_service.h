#pragma once

#include "Kernel/service_registry.h"
#include "Kernel/worker_thread.h"
#include "Services/decisions/decision_service.h"
#include "Services/peers/peer_connection.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <map>
#include <unordered_map>

namespace zinnialedge::services::peers {

/// Exchanges messages with the other daemons: relays queries to other daemons, executes queries that other daemons relay to
/// this daemon, and carries configuration objects and membership datagrams.
class peer_service final : public kernel::service {
public:
    static errors::error_or<std::shared_ptr<peer_service>> create(model::endpoint const&, decisions::decision_service&);

    std::string const& name() const override { return m_workerThread.name(); }
    void start() override;
    void stop() override { m_workerThread.stop(); }
    bool requestState(kernel::text_receiver) override;
    std::uint16_t port() const;
    /// Rejects new queries without a ticket from other daemons from now on; queries in flight are answered.
    [[nodiscard]] bool startRejectingQueries();
    /// Passes the number of queries from other daemons that are in flight here to the receiver.
    [[nodiscard]] bool requestIncomingRelayCount(std::function<void(std::size_t)>);

    static constexpr char const* serviceName = "peers";

private:
    using connection = std::shared_ptr<peer_connection>;

    /// Query that this daemon has relayed to another daemon.
    struct outgoing_relay {
        queries::caller_token caller { 0 };
        model::endpoint endpoint;
    };

    /// Query that another daemon has relayed to this daemon.
    struct incoming_relay {
        std::weak_ptr<peer_connection> origin;
        std::uint64_t call { 0 };
    };

    explicit peer_service(decisions::decision_service&);
    errors::error_or<void> listen(model::endpoint const&);
    errors::error_or<void> bindSockets(model::endpoint const&);
    void acceptNextConnection();
    void startConnection(boost::asio::ip::tcp::socket);
    /// Closes the incoming connection without a relayed query that has had no message for the longest time.
    void closeIdlestConnection();
    /// Closes incoming connections with incomplete messages, the oldest first, until the others fit into their memory.
    void relieveMemory();
    connection findOrOpenConnection(model::endpoint const&);
    void handle(decisions::peer_action&&);
    void perform(queries::answer_caller const&);
    void perform(decisions::relay_to_daemon const&);
    void perform(decisions::push_object const&);
    void perform(decisions::request_objects const&);
    void perform(membership::send_datagram const&);
    void perform(decisions::close_peer_connection const&);
    void receiveDatagram();
    template <typename T>
    void forwardToDecisionService(T&&);
    void perform(queries::abandon_relay const&);
    void handlePeerRequest(connection const&, wire::peer_message);
    void handlePeerReply(wire::peer_message);
    void handleConnectionClosed(model::endpoint const&);
    void completeRelay(std::uint64_t call, model::answer_or_error);

    kernel::io_worker_thread m_workerThread;
    decisions::decision_service& m_decisionService;
    boost::asio::ip::tcp::acceptor m_acceptor;
    /// UDP socket with the same port number as the acceptor.
    boost::asio::ip::udp::socket m_datagramSocket;
    boost::asio::ip::udp::endpoint m_datagramSender;
    std::array<char, 2 * membership::maximumDatagramBytes> m_datagramBuffer {};
    std::map<model::endpoint, connection> m_connections;
    std::unordered_map<peer_connection*, std::weak_ptr<peer_connection>> m_incomingConnections;
    std::shared_ptr<limits::memory_budget> m_incompleteMessages;
    std::unordered_map<std::uint64_t, outgoing_relay> m_outgoingRelays;
    std::unordered_map<queries::caller_token, std::uint64_t> m_relayCallByCaller;
    std::unordered_map<queries::caller_token, incoming_relay> m_incomingRelays;
    std::uint64_t m_lastRelayCall { 0 };
    std::uint64_t m_lastIncomingRelay { 0 };
    std::uint64_t m_outgoingRelayCount { 0 };
    std::uint64_t m_incomingRelayCount { 0 };
    bool m_isRejectingQueries { false };
    std::uint64_t m_droppedMessageCount { 0 };
    std::uint64_t m_sentDatagramCount { 0 };
    std::uint64_t m_sentDatagramBytes { 0 };
    std::uint64_t m_receivedDatagramCount { 0 };
    std::uint64_t m_receivedDatagramBytes { 0 };
};

}

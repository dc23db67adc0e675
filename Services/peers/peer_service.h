#pragma once

#include "Kernel/duty.h"
#include "Kernel/registry.h"
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

    std::string const& name() const override { return m_duty.name(); }
    void start() override;
    void stop() override { m_duty.stop(); }
    bool requestState(kernel::state_receiver) override;
    std::uint16_t port() const;
    /// Rejects new queries without a ticket from other daemons from now on; queries in flight are answered.
    [[nodiscard]] bool beginRefusing();
    /// Passes the number of queries from other daemons that are in flight here to the receiver.
    [[nodiscard]] bool requestInboundCount(std::function<void(std::size_t)>);

    static constexpr char const* serviceName = "peers";

private:
    using connection = std::shared_ptr<peer_connection>;

    /// Query that this daemon has relayed to another daemon.
    struct relayed_call {
        queries::caller_token caller { 0 };
        model::endpoint place;
    };

    /// Query that another daemon has relayed to this daemon.
    struct inbound_relay {
        std::weak_ptr<peer_connection> origin;
        std::uint64_t call { 0 };
    };

    explicit peer_service(decisions::decision_service&);
    errors::error_or<void> listen(model::endpoint const&);
    errors::error_or<void> bind(model::endpoint const&);
    void accept();
    void serve(boost::asio::ip::tcp::socket);
    connection connectTo(model::endpoint const&);
    void handle(decisions::peer_action&&);
    void perform(queries::answer_caller const&);
    void perform(decisions::relay_to_daemon const&);
    void perform(decisions::push_object const&);
    void perform(decisions::ask_objects const&);
    void perform(membership::send_datagram const&);
    void perform(decisions::drop_peer const&);
    void receiveDatagram();
    template <typename T>
    void passOn(T&&);
    void perform(queries::abandon_relay const&);
    void handleInbound(connection const&, wire::peer_message);
    void handleAnswer(wire::peer_message);
    void handleClosed(model::endpoint const&);
    void finishRelay(std::uint64_t call, model::answer_or_error);

    kernel::io_duty m_duty;
    decisions::decision_service& m_decisions;
    boost::asio::ip::tcp::acceptor m_acceptor;
    /// UDP socket with the same port number as the acceptor.
    boost::asio::ip::udp::socket m_datagrams;
    boost::asio::ip::udp::endpoint m_datagramOrigin;
    std::array<char, 2 * membership::maximumDatagramBytes> m_datagram {};
    std::map<model::endpoint, connection> m_connections;
    std::unordered_map<std::uint64_t, relayed_call> m_relayed;
    std::unordered_map<queries::caller_token, std::uint64_t> m_relayOfCaller;
    std::unordered_map<queries::caller_token, inbound_relay> m_inbound;
    std::uint64_t m_lastCall { 0 };
    std::uint64_t m_lastInbound { 0 };
    std::uint64_t m_relays { 0 };
    std::uint64_t m_inboundTotal { 0 };
    bool m_isRefusing { false };
    std::uint64_t m_droppedMessages { 0 };
    std::uint64_t m_datagramsSent { 0 };
    std::uint64_t m_datagramBytesSent { 0 };
    std::uint64_t m_datagramsReceived { 0 };
    std::uint64_t m_datagramBytesReceived { 0 };
};

}

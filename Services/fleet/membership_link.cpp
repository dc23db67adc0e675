#include "Services/fleet/membership_link.h"

#include "Kernel/event_log.h"
#include "Libraries/zinnialedge/wire/membership_codec.h"

namespace zinnialedge::services::fleet {

namespace asio = boost::asio;
using asio::ip::udp;
using kernel::log_level;
using kernel::logEvent;

membership_link::membership_link(asio::io_context& context, membership::membership_settings settings, membership_link_hooks hooks)
    : m_engine(std::move(settings), kernel::makeRandom())
    , m_hooks(std::move(hooks))
    , m_socket(context)
    , m_timer(context)
{
}

errors::error_or<void> membership_link::open(model::endpoint const& endpoint)
{
    boost::system::error_code failure;
    udp::endpoint const local { asio::ip::make_address(endpoint.address, failure), endpoint.port };
    if (!failure)
        m_socket.open(udp::v4(), failure);
    if (!failure)
        m_socket.bind(local, failure);
    if (!failure)
        m_socket.non_blocking(true, failure);
    if (failure)
        return errors::makeError(errors::error_kind::internal, "cannot open UDP socket at " + toString(endpoint) + ": " + failure.message());
    receiveNext();
    return {};
}

void membership_link::receiveNext()
{
    m_socket.async_receive_from(asio::buffer(m_receiveBuffer), m_senderEndpoint, [this](boost::system::error_code failure, std::size_t bytes) {
        if (failure == asio::error::operation_aborted)
            return;
        if (!failure) {
            auto const content = wire::decodeDatagram({ m_receiveBuffer.data(), bytes });
            if (content)
                step(membership::datagram_received { { m_senderEndpoint.address().to_string(), m_senderEndpoint.port() }, *content });
            else
                logEvent(log_level::debug, "datagram_malformed", { { "origin", m_senderEndpoint.address().to_string() } });
        }
        receiveNext();
    });
}

void membership_link::step(membership::membership_event const& event)
{
    m_haveMembersChanged = false;
    for (auto const& action : m_engine.step(event, std::chrono::steady_clock::now()))
        std::visit([this](auto const& each) { perform(each); }, action);
    armTimer();
    if (m_haveMembersChanged)
        m_hooks.membersChanged();
}

void membership_link::armTimer()
{
    m_timer.expires_at(m_engine.nextTimerTime());
    m_timer.async_wait([this](boost::system::error_code failure) {
        if (!failure)
            step(membership::membership_timer_due {});
    });
}

void membership_link::perform(membership::send_datagram const& action)
{
    boost::system::error_code failure;
    udp::endpoint const to { asio::ip::make_address(action.endpoint.address, failure), action.endpoint.port };
    if (failure)
        return;
    // A lost datagram is not resent: the next probe makes up for the loss.
    m_socket.send_to(asio::buffer(wire::encodeDatagram(action.content)), to, 0, failure);
    if (failure)
        logEvent(log_level::debug, "datagram_not_sent", { { "to", toString(action.endpoint) }, { "reason", failure.message() } });
}

void membership_link::perform(membership::member_changed const& action)
{
    m_haveMembersChanged = true;
    m_hooks.memberChanged(action);
    logEvent(log_level::info, "member_changed", { { "member", action.record.name }, { "status", membership::toString(action.status) }, { "reaches_leafs", action.reachesLeafs ? 1 : 0 }, { "incarnation", action.record.incarnation } });
}

void membership_link::perform(membership::configuration_difference_found const& action)
{
    m_hooks.configurationDiffers(action.endpoint);
}

void membership_link::perform(membership::suspects_received const& action)
{
    m_hooks.suspectsReceived(action.suspects);
}

void membership_link::perform(membership::usage_received const& action)
{
    m_hooks.usageReceived(action.report);
}

}

#pragma once

#include "Libraries/zinnialedge/membership/membership_engine.h"
#include <array>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace zinnialedge::services::fleet {

struct membership_link_hooks {
    std::function<void()> membersChanged;
    /// Called when the daemon at the given endpoint has a different configuration version.
    std::function<void(model::endpoint const&)> configurationDiffers;
    /// Called with what another daemon has told of requests under which leafs were lost.
    std::function<void(std::vector<quarantine::suspect> const&)> suspectsReceived;
    /// Called with another daemon's report of requests that count towards quotas.
    std::function<void(allowances::usage_report const&)> usageReceived;
    /// Called with each change of what is known of another daemon.
    std::function<void(membership::member_changed const&)> memberChanged;
};

/// Runs the membership protocol over UDP.
class membership_link {
public:
    membership_link(boost::asio::io_context&, membership::membership_settings, membership_link_hooks);

    errors::error_or<void> open(model::endpoint const&);
    void step(membership::membership_event const&);
    void setSeeds(std::vector<model::endpoint> seeds) { m_engine.setSeeds(std::move(seeds)); }
    membership::membership_engine const& engine() const { return m_engine; }

private:
    void receiveNext();
    void armTimer();
    void perform(membership::send_datagram const&);
    void perform(membership::member_changed const&);
    void perform(membership::configuration_difference_found const&);
    void perform(membership::suspects_received const&);
    void perform(membership::usage_received const&);

    membership::membership_engine m_engine;
    membership_link_hooks m_hooks;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_senderEndpoint;
    std::array<char, 2 * membership::maximumDatagramBytes> m_receiveBuffer {};
    boost::asio::steady_timer m_timer;
    bool m_haveMembersChanged { false };
};

}

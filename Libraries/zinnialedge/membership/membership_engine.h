#pragma once

#include "Libraries/zinnialedge/membership/datagram.h"
#include "Libraries/zinnialedge/membership/member_table.h"
#include "Libraries/zinnialedge/membership/update_queue.h"
#include <unordered_map>
#include <variant>

namespace zinnialedge::membership {

struct membership_settings {
    daemon_record self;
    std::vector<model::endpoint> seeds;
    /// One member is probed in each interval.
    std::chrono::milliseconds probeInterval { 500 };
    /// How long a direct answer may take before others are asked to ping.
    std::chrono::milliseconds acknowledgementTimeout { 200 };
    std::size_t indirectProbes { 3 };
    std::chrono::milliseconds shortestSuspicion { 1500 };
    /// How often a dead or unknown daemon is tried once enough members are known.
    std::chrono::milliseconds contactInterval { 5000 };
    /// Gossip older than this must not be in any queue any more.
    std::chrono::seconds deadRemembered { 3600 };
};

// Events.

struct datagram_received {
    model::endpoint place;
    datagram content;
};

/// The platform's store holds this registration.
struct daemon_registered {
    daemon_record record;
};

struct daemon_unregistered {
    std::string name;
};

/// This daemon's own status: joining, serving or leaving.
struct status_declared {
    member_status status { member_status::joining };
};

struct configuration_changed {
    std::uint64_t digest { 0 };
};

/// This process ends now.
struct process_stopping { };

struct membership_timer_due { };

using membership_event = std::variant<datagram_received, daemon_registered, daemon_unregistered, status_declared, configuration_changed, process_stopping, membership_timer_due>;

// Actions.

struct send_datagram {
    model::endpoint place;
    datagram content;
};

struct member_changed {
    daemon_record record;
    member_status status { member_status::joining };
};

/// The daemon at that place knows another configuration.
struct configuration_differs {
    model::endpoint place;
};

using membership_action = std::variant<send_datagram, member_changed, configuration_differs>;
using membership_actions = std::vector<membership_action>;

/// Who is alive, after SWIM: random probes, indirect probes, suspicion before death, refutation by a higher version,
/// and updates that ride on the probes. No I/O: the same events at the same times give the same actions.
class membership_engine {
public:
    membership_engine(membership_settings, kernel::random_hook);
    void setSeeds(std::vector<model::endpoint> seeds) { m_settings.seeds = std::move(seeds); }

    membership_actions step(membership_event const&, kernel::time_point now);
    kernel::time_point nextTimer() const;

    member_table const& members() const { return m_members; }
    member_update const& self() const { return m_self; }
    /// When the last ping was sent that another daemon answered.
    std::optional<kernel::time_point> lastHeard() const { return m_lastHeard; }
    std::size_t queuedUpdates() const { return m_updates.size(); }

private:
    struct probe {
        std::string target;
        std::uint64_t sequence { 0 };
        kernel::time_point sentAt;
        bool isIndirect { false };
    };

    struct waiting_page {
        model::endpoint place;
        kernel::time_point at;
    };

    /// A ping on behalf of another member.
    struct assisted_probe {
        model::endpoint origin;
        std::uint64_t sequence { 0 };
        kernel::time_point sentAt;
    };

    void handle(datagram_received const&, kernel::time_point);
    void handle(daemon_registered const&, kernel::time_point);
    void handle(daemon_unregistered const&, kernel::time_point);
    void handle(status_declared const&, kernel::time_point);
    void handle(configuration_changed const&, kernel::time_point);
    void handle(process_stopping const&, kernel::time_point);
    void handle(membership_timer_due const&, kernel::time_point);

    void handlePing(datagram_received const&);
    void handleAcknowledgement(datagram const&, kernel::time_point);
    void handlePingRequest(datagram_received const&, kernel::time_point);
    void handleMembersAsked(datagram_received const&);
    void handleMembersPage(datagram_received const&, kernel::time_point);
    void noteDigest(datagram_received const&, kernel::time_point);

    void learn(member_update const&, kernel::time_point);
    void refute(member_update const&);
    void advanceProbe(kernel::time_point);
    void beginProbe(kernel::time_point);
    void askOthersToPing();
    void suspect(std::string const& name, kernel::time_point);
    /// Tells a few random members at once, but not the one that the update is about.
    void tellAtOnce(std::string const& about);
    void endSuspicions(kernel::time_point);
    void pingUnknownDaemons(kernel::time_point);
    void askForMembers(model::endpoint const&, kernel::time_point);
    /// After a pause of this process, silence of others proves nothing.
    void restartTimersAfterPause(kernel::time_point);
    bool knowsFew() const;
    std::chrono::milliseconds suspicionTimeout() const;
    std::size_t tellLimit() const;

    datagram makeDatagram(datagram_kind, std::uint64_t sequence, std::string subject) const;
    void addUpdates(datagram&, std::string const& receiver);
    void send(model::endpoint const&, datagram);

    membership_settings m_settings;
    kernel::random_hook m_random;
    member_update m_self;
    member_table m_members;
    update_queue m_updates;
    std::map<std::string, daemon_record> m_registered;
    std::optional<probe> m_probe;
    std::unordered_map<std::uint64_t, assisted_probe> m_assisted;
    std::map<std::string, kernel::time_point> m_suspicionEnds;
    std::optional<kernel::time_point> m_nextProbeAt;
    kernel::time_point m_nextContactAt;
    kernel::time_point m_nextExchangeAt;
    std::optional<kernel::time_point> m_lastHeard;
    std::uint64_t m_lastSequence { 0 };
    std::uint64_t m_digest { 0 };
    std::string m_tableCursor;
    std::string m_pageCursor;
    kernel::time_point m_pageAskedAt;
    std::optional<waiting_page> m_nextPage;
    bool m_hasTable { false };
    membership_actions m_actions;
};

}

#pragma once

#include "Libraries/zinnialedge/membership/datagram.h"
#include "Libraries/zinnialedge/membership/member_table.h"
#include "Libraries/zinnialedge/membership/update_queue.h"
#include <unordered_map>
#include <variant>

namespace zinnialedge::membership {

struct membership_settings {
    daemon_record self;
    /// Processor share of this VM, in cores, if known.
    std::optional<double> strength {};
    /// Endpoints to contact when few members are known.
    std::vector<model::endpoint> seeds;
    /// Interval in which one member is probed.
    std::chrono::milliseconds probeInterval { 500 };
    /// Time limit for a direct acknowledgement, after which other members are asked to ping the target.
    std::chrono::milliseconds acknowledgementTimeout { 200 };
    /// Number of members that are asked to ping an unresponsive target.
    std::size_t indirectProbeCount { 3 };
    std::chrono::milliseconds minimumSuspicionTimeout { 1500 };
    /// Interval in which a dead or unknown daemon is pinged once enough members are known.
    std::chrono::milliseconds contactInterval { 5000 };
    /// Time for which a dead member is retained. This must exceed the time that gossip stays in any queue, or old gossip would
    /// bring the member back.
    std::chrono::seconds deadRetention { 3600 };
};

// Events.

struct datagram_received {
    model::endpoint endpoint;
    datagram content;
};

/// A registration was found in the platform's store.
struct daemon_registered {
    daemon_record record;
};

/// A registration is no longer in the platform's store.
struct daemon_unregistered {
    std::string name;
};

/// This daemon declares a new status for itself: joining, serving or leaving.
struct status_declared {
    member_status status { member_status::joining };
};

/// This daemon has lost its links to all leafs, or they are back.
struct leaf_reach_changed {
    bool reachesLeafs { true };
};

/// The digest of the services that this daemon knows has changed.
struct configuration_changed {
    std::uint64_t digest { 0 };
};

/// The requests under which leafs were lost, as this daemon knows them, have changed.
struct suspects_changed {
    /// Those that changed last come first.
    std::vector<quarantine::suspect> suspects;
};

/// This daemon reports requests that count towards quotas.
struct usage_reported {
    /// Its parts, each of which fits into a datagram.
    std::vector<allowances::addressed_report> reports;
};

/// This process is about to exit.
struct process_stopping { };

/// The time that nextTimerTime() returned has been reached.
struct membership_timer_due { };

using membership_event = std::variant<datagram_received, daemon_registered, daemon_unregistered, status_declared, leaf_reach_changed, configuration_changed, suspects_changed, usage_reported, process_stopping, membership_timer_due>;

// Actions.

struct send_datagram {
    model::endpoint endpoint;
    datagram content;
};

struct member_changed {
    daemon_record record;
    member_status status { member_status::joining };
    bool reachesLeafs { true };
};

/// The daemon at `endpoint` knows a different configuration.
struct configuration_difference_found {
    model::endpoint endpoint;
};

/// Another daemon has told of requests under which leafs were lost.
struct suspects_received {
    std::vector<quarantine::suspect> suspects;
};

/// Another daemon has reported requests that count towards quotas.
struct usage_received {
    allowances::usage_report report;
};

using membership_action = std::variant<send_datagram, member_changed, configuration_difference_found, suspects_received, usage_received>;
using membership_actions = std::vector<membership_action>;

/// Failure detector and membership protocol after SWIM: random probes, indirect probes, suspicion before death, refutation by
/// a higher version, and updates that are piggybacked on probes. Does no I/O: the same events at the same times, with the
/// same random numbers, produce the same actions.
class membership_engine {
public:
    membership_engine(membership_settings, kernel::random_hook);
    void setSeeds(std::vector<model::endpoint> seeds) { m_settings.seeds = std::move(seeds); }

    /// Handles an event and returns the actions for the caller to perform.
    membership_actions step(membership_event const&, kernel::time_point now);
    /// Returns the time at which the next membership_timer_due event is needed.
    kernel::time_point nextTimerTime() const;

    member_table const& members() const { return m_members; }
    member_update const& self() const { return m_self; }
    /// Returns the time at which the most recent acknowledged ping was sent.
    std::optional<kernel::time_point> lastAcknowledgedPingTime() const { return m_lastHeard; }
    std::size_t queuedUpdateCount() const { return m_updates.size(); }

private:
    /// Probe of a member that is in flight.
    struct probe {
        std::string target;
        std::uint64_t sequence { 0 };
        kernel::time_point sentAt;
        bool isIndirect { false };
    };

    /// Scheduled request for the next page of the member table.
    struct scheduled_page_request {
        model::endpoint endpoint;
        kernel::time_point dueAt;
    };

    /// Ping that was sent on behalf of another member.
    struct assisted_probe {
        model::endpoint origin;
        std::uint64_t sequence { 0 };
        kernel::time_point sentAt;
    };

    void handle(datagram_received const&, kernel::time_point);
    void handle(daemon_registered const&, kernel::time_point);
    void handle(daemon_unregistered const&, kernel::time_point);
    void handle(status_declared const&, kernel::time_point);
    void handle(leaf_reach_changed const&, kernel::time_point);
    void handle(configuration_changed const&, kernel::time_point);
    void handle(suspects_changed const&, kernel::time_point);
    void handle(usage_reported const&, kernel::time_point);
    void handle(process_stopping const&, kernel::time_point);
    void handle(membership_timer_due const&, kernel::time_point);

    void handlePing(datagram_received const&);
    void handleAcknowledgement(datagram const&, kernel::time_point);
    void handlePingRequest(datagram_received const&, kernel::time_point);
    void handleMembersRequest(datagram_received const&);
    void handleMembersPage(datagram_received const&, kernel::time_point);
    /// Emits configuration_difference_found, at a limited rate, when the digest of the sender differs from the local digest.
    void compareDigest(datagram_received const&, kernel::time_point);

    /// Applies an update and emits member_changed for each member whose state changed.
    void applyUpdate(member_update const&, kernel::time_point);
    /// Raises this daemon's version when the update wrongly calls this daemon suspect or dead.
    void refuteIfWrong(member_update const&);
    void advanceProbe(kernel::time_point);
    void beginProbe(kernel::time_point);
    void requestIndirectPings();
    void beginSuspicion(std::string const& name, kernel::time_point);
    /// Sends the queued updates to a few random members other than `excluded` immediately.
    void announceImmediately(std::string const& excluded);
    void expireSuspicions(kernel::time_point);
    void pingUnknownDaemons(kernel::time_point);
    void requestMembersPage(model::endpoint const&, kernel::time_point);
    /// Restarts probes and suspicions after a pause of this process, during which replies could not be received.
    void restartTimersAfterPause(kernel::time_point);
    bool hasFewMembers() const;
    std::chrono::milliseconds suspicionTimeout() const;
    /// Returns the number of times that each update is sent.
    std::size_t sendLimit() const;

    datagram makeDatagram(datagram_kind, std::uint64_t sequence, std::string subject) const;
    /// Adds as many updates as fit into the datagram.
    void addUpdates(datagram&, std::string const& receiver);
    void send(model::endpoint const&, datagram);
    /// Adds suspects to all datagrams that are about to be sent, in turn when there are more than fit.
    void attachSuspects(kernel::time_point now);

    membership_settings m_settings;
    kernel::random_hook m_random;
    member_update m_self;
    member_table m_members;
    update_queue m_updates;
    std::map<std::string, daemon_record> m_registrations;
    std::optional<probe> m_probe;
    std::unordered_map<std::uint64_t, assisted_probe> m_assistedProbes;
    std::map<std::string, kernel::time_point> m_suspicionEnds;
    std::optional<kernel::time_point> m_nextProbeAt;
    kernel::time_point m_nextContactAt;
    kernel::time_point m_nextConfigurationExchangeAt;
    std::optional<kernel::time_point> m_lastHeard;
    std::uint64_t m_lastSequence { 0 };
    std::uint64_t m_configurationDigest { 0 };
    std::string m_tableCursor;
    std::string m_pageCursor;
    kernel::time_point m_pageRequestedAt;
    std::optional<scheduled_page_request> m_nextPageRequest;
    bool m_hasReceivedTable { false };
    std::vector<quarantine::suspect> m_suspects;
    std::size_t m_nextSuspect { 0 };
    membership_actions m_actions;
};

}

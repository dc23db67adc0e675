#pragma once

#include "Kernel/clock.h"
#include "Libraries/zinnialedge/membership/member.h"
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace zinnialedge::membership {

/// Table of the other daemons by name. Dead members stay in the table until they are evicted.
class member_table {
public:
    explicit member_table(kernel::random_hook);

    /// Applies the update if the update supersedes the recorded state of the member. Returns the names of the members whose
    /// state changed; a member that held the endpoint of the updated member before becomes dead.
    std::vector<std::string> apply(member_update const&, std::string const& localDataCentre, kernel::time_point now);
    member_update const* find(std::string const& name) const;
    /// Returns the next member to probe. Each round visits every live member once in random order; most probes go to members
    /// of the local data centre.
    std::optional<std::string> takeNextToProbe();
    /// Returns a random live member other than `excluded`, with a preference for the local data centre. Returns nothing when
    /// a limited number of random attempts finds no member.
    std::optional<std::string> pickRandomLive(std::string const& excluded);
    /// Returns the first member after `name`, in circular name order, that is neither suspect nor dead.
    member_update const* findNextDeclared(std::string const& name) const;
    std::map<std::string, member_update> const& members() const { return m_members; }
    std::set<std::string> const& deadNames() const { return m_deadNames; }
    std::size_t liveCount() const { return m_members.size() - m_deadNames.size(); }
    /// Evicts members that died at or before the given time.
    void evictDead(kernel::time_point before);
    /// Returns whether a live member uses this endpoint for messages from other daemons.
    bool isLiveAt(model::endpoint const&) const;

private:
    /// Live members in the order in which they are probed. Dead members are removed when the order reaches them.
    struct probe_order {
        std::vector<std::string> names;
        std::size_t nextIndex { 0 };
    };

    std::optional<std::string> takeNextLive(probe_order&);
    bool shouldChooseLocal(std::size_t sufficientCount) const;
    void insertAtRandomIndex(probe_order&, std::string const& name);
    bool isLive(std::string const& name) const;

    kernel::random_hook m_random;
    std::map<std::string, member_update> m_members;
    std::map<model::endpoint, std::string> m_namesByEndpoint;
    std::set<std::string> m_deadNames;
    std::set<std::string> m_remoteSuspects;
    /// Names of members by the time at which their death was recorded.
    std::multimap<kernel::time_point, std::string> m_namesByDeathTime;
    probe_order m_localOrder;
    probe_order m_remoteOrder;
};

}

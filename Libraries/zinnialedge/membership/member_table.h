#pragma once

#include "Kernel/clock.h"
#include "Libraries/zinnialedge/membership/member.h"
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace zinnialedge::membership {

/// The other daemons by name, the dead ones too until they are forgotten.
class member_table {
public:
    explicit member_table(kernel::random_hook);

    /// Takes the update in when it is newer than what is known. Returns the names whose status changed.
    std::vector<std::string> apply(member_update const&, std::string const& ownDataCentre, kernel::time_point now);
    member_update const* find(std::string const& name) const;
    /// The next one to probe: every living member once in a random order, then again. Most are of the own data centre.
    std::optional<std::string> nextToProbe();
    /// A random living member other than that one, preferring the own data centre.
    std::optional<std::string> pick(std::string const& except);
    /// The living member after that name in a circular order.
    member_update const* following(std::string const& name) const;
    std::map<std::string, member_update> const& all() const { return m_members; }
    std::set<std::string> const& dead() const { return m_dead; }
    std::size_t livingCount() const { return m_members.size() - m_dead.size(); }
    void forgetDead(kernel::time_point before);
    bool isLivingAt(model::endpoint const&) const;

private:
    /// Living members in the order in which they are probed.
    struct probe_order {
        std::vector<std::string> names;
        std::size_t next { 0 };
    };

    std::optional<std::string> nextOf(probe_order&);
    bool choosesNear() const;
    void insert(probe_order&, std::string const& name);
    bool isLiving(std::string const& name) const;

    kernel::random_hook m_random;
    std::map<std::string, member_update> m_members;
    std::map<model::endpoint, std::string> m_byPlace;
    std::set<std::string> m_dead;
    std::multimap<kernel::time_point, std::string> m_deaths;
    probe_order m_near;
    probe_order m_far;
};

}

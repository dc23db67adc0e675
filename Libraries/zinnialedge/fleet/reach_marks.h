#pragma once

#include "Kernel/clock.h"
#include <map>
#include <set>
#include <string>

namespace zinnialedge::fleet {

/// Daemons that were found to reach no leafs before membership told so. A mark ends with its time, or when the daemon says that its links
/// are back.
class reach_marks {
public:
    void mark(std::string const& address, kernel::time_point until) { m_markedUntil[address] = until; }
    bool isMarked(std::string const& address, kernel::time_point now) const;
    /// Takes what a member says of its links. Returns whether it says for the first time that they are lost.
    bool observe(std::string const& member, std::string const& address, bool reachesLeafs);
    /// Takes that the member is no more.
    void forget(std::string const& member) { m_withoutLeafs.erase(member); }
    /// Returns whether there was a mark whose time has ended.
    bool removeExpired(kernel::time_point now);

private:
    std::map<std::string, kernel::time_point> m_markedUntil;
    /// Members that have said that their links are lost.
    std::set<std::string> m_withoutLeafs;
};

}

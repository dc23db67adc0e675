#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace zinnialedge::membership {

/// Queue of the names of members whose updates are to be sent. Names with the fewest sends come first; each name is sent a
/// limited number of times.
class update_queue {
public:
    /// Adds a name. The send count of a name that is already queued restarts at zero.
    void add(std::string const& name);
    void remove(std::string const& name);
    /// Offers the queued names until `accept` returns false. Counts a send for each accepted name and removes names that reach
    /// `limit` sends.
    void offerForSending(std::size_t limit, std::function<bool(std::string const&)> const& accept);
    std::size_t size() const { return m_sendCounts.size(); }

private:
    /// Pairs of send count and name.
    std::set<std::pair<std::size_t, std::string>> m_namesBySendCount;
    std::map<std::string, std::size_t> m_sendCounts;
};

}

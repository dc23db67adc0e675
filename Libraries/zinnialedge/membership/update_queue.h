#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace zinnialedge::membership {

/// The names of members with updates to tell. Those told least often go first; each is told a limited number of times.
class update_queue {
public:
    /// Its count starts again when it waits already.
    void add(std::string const& name);
    void remove(std::string const& name);
    /// Offers names until `take` returns false for one, which stays as it was. Counts those that were taken.
    void tell(std::size_t limit, std::function<bool(std::string const&)> const& take);
    std::size_t size() const { return m_told.size(); }

private:
    std::set<std::pair<std::size_t, std::string>> m_order;
    std::map<std::string, std::size_t> m_told;
};

}

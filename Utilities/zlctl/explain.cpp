#include "Utilities/zlctl/explain.h"

#include <algorithm>
#include <map>

namespace zinnialedge::utilities::control {

static std::string findValue(std::string const& line, std::string const& key)
{
    auto start = line.starts_with(key + "=") ? 0 : line.find(" " + key + "=");
    if (start == std::string::npos)
        return {};
    start = line.find('=', start) + 1;
    return line.substr(start, line.find(' ', start) - start);
}

std::vector<std::string> findRequestLines(std::istream& log, std::string const& requestId)
{
    std::vector<std::string> found;
    // The last pause and the limit of each leaf. A request that is rejected because of them has no calls of its own that would show
    // them.
    std::map<std::string, std::string> pausesByLeaf;
    std::map<std::string, std::string> limitsByLeaf;
    for (std::string line; std::getline(log, line);) {
        auto const event = findValue(line, "event");
        if (event == "leaf_paused")
            pausesByLeaf[findValue(line, "leaf")] = line;
        else if (event == "leaf_limit_named")
            limitsByLeaf[findValue(line, "leaf")] = line;
        else if (event == "leaf_limit_ended")
            limitsByLeaf.erase(findValue(line, "leaf"));
        if (findValue(line, "id") != requestId)
            continue;
        auto const reason = findValue(line, "reason");
        if (reason == "leafs_paused" || reason == "leafs_limited") {
            for (auto const& [leaf, notice] : reason == "leafs_paused" ? pausesByLeaf : limitsByLeaf) {
                if (findValue(notice, "id") != requestId)
                    found.push_back(notice);
            }
        }
        found.push_back(line);
    }
    return found;
}

std::vector<std::string> sortByTime(std::vector<std::string> lines)
{
    // All times have the same fixed-width UTC format, so the order of the strings is the chronological order.
    std::stable_sort(lines.begin(), lines.end(), [](auto const& left, auto const& right) { return findValue(left, "time") < findValue(right, "time"); });
    return lines;
}

}

#include "Libraries/zinnialedge/membership/directory.h"

#include <algorithm>
#include <xxhash.h>

namespace zinnialedge::membership {

void directory::insertOrUpdate(daemon_record record, bool isUsable)
{
    if (isUsable)
        m_usableNames.insert(record.name);
    else
        m_usableNames.erase(record.name);
    auto& stored = m_recordsByName[record.name];
    stored = std::move(record);
}

void directory::remove(std::string const& name)
{
    m_recordsByName.erase(name);
    m_usableNames.erase(name);
}

daemon_record const* directory::find(std::string const& name) const
{
    auto const found = m_recordsByName.find(name);
    return found == m_recordsByName.end() ? nullptr : &found->second;
}

std::vector<daemon_record> directory::findUsableDaemons(std::string const& service, std::string const& dataCentre) const
{
    struct ranked_daemon {
        int distance { 0 };
        std::uint64_t hash { 0 };
        daemon_record const* daemon { nullptr };
    };
    std::string region;
    for (auto const& [name, daemon] : m_recordsByName) {
        if (daemon.dataCentre == dataCentre)
            region = daemon.region;
    }
    std::vector<ranked_daemon> ranked;
    ranked.reserve(m_recordsByName.size());
    for (auto const& [name, daemon] : m_recordsByName) {
        if (!m_usableNames.contains(name))
            continue;
        int const distance = daemon.dataCentre == dataCentre ? 0 : daemon.region == region ? 1
                                                                                           : 2;
        auto const text = service + "\n" + name;
        ranked.push_back({ distance, XXH3_64bits(text.data(), text.size()), &daemon });
    }
    std::sort(ranked.begin(), ranked.end(), [](auto const& left, auto const& right) {
        return std::tie(left.distance, left.hash) < std::tie(right.distance, right.hash);
    });
    std::vector<daemon_record> daemons;
    daemons.reserve(ranked.size());
    for (auto const& candidate : ranked)
        daemons.push_back(*candidate.daemon);
    return daemons;
}

}

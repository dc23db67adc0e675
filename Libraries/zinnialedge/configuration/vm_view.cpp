#include "Libraries/zinnialedge/configuration/vm_view.h"

#include "Libraries/zinnialedge/configuration/json_reader.h"
#include <algorithm>
#include <boost/json/value.hpp>

namespace zinnialedge::configuration {

std::optional<vm_list> parseVmList(std::string_view text)
{
    std::vector<std::string> problems;
    auto const value = parseJson(text, problems);
    vm_list list;
    if (value) {
        json_reader reader { *value, problems };
        reader.list("vms", true, [&](json_reader& item) {
            auto const address = item.text("address");
            list[address] = item.choice("state", { "live", "leaving" }) == 1;
        });
    }
    return problems.empty() ? std::optional { std::move(list) } : std::nullopt;
}

bool vm_view::update(vm_list const& list)
{
    for (auto const& [address, isLeaving] : list) {
        if (!isLeaving)
            m_knownAddresses.insert(address);
    }
    auto const previouslyWithdrawn = m_withdrawn;
    auto const usableCount = m_knownAddresses.size() - m_withdrawn.size();
    auto allowedWithdrawals = std::max<std::size_t>(1, usableCount / withdrawalDivisor);
    for (auto const& address : m_knownAddresses) {
        auto const found = list.find(address);
        if (found != list.end() && !found->second) {
            m_withdrawnReadings.erase(address);
            m_withdrawn.erase(address);
            continue;
        }
        auto const readings = ++m_withdrawnReadings[address];
        if (m_withdrawn.contains(address))
            continue;
        if (allowedWithdrawals == 0 && readings < readingsToAccept)
            continue;
        m_withdrawn.insert(address);
        allowedWithdrawals -= std::min<std::size_t>(allowedWithdrawals, 1);
    }
    return m_withdrawn != previouslyWithdrawn;
}

}

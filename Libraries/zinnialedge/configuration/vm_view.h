#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace zinnialedge::configuration {

/// One reading of the platform's VM list: each VM's address, and whether it is leaving.
using vm_list = std::map<std::string, bool>;

/// Nothing when the text is no VM list.
std::optional<vm_list> parseVmList(std::string_view text);

/// Which VMs get no new work, after the platform's list. The list lags and may be wrong, so it is believed slowly when it
/// withdraws many VMs at once, and at once when it brings one back.
class vm_view {
public:
    /// True when the withdrawn VMs have changed.
    bool update(vm_list const&);

    /// The addresses of VMs that are leaving or have gone from the list.
    std::set<std::string> const& withdrawn() const { return m_withdrawn; }
    std::size_t size() const { return m_known.size(); }

    /// A withdrawal beyond the floor is believed after so many readings in a row.
    static constexpr unsigned readingsToBelieve = 3;
    /// Of the VMs that are in use, one in so many may be withdrawn by one reading.
    static constexpr std::size_t withdrawnShare = 10;

private:
    /// Every VM that was ever seen live.
    std::set<std::string> m_known;
    std::set<std::string> m_withdrawn;
    /// For each VM, how many readings in a row have withdrawn it.
    std::map<std::string, unsigned> m_readings;
};

}

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace zinnialedge::configuration {

/// Reading of the platform's VM list: whether the VM is leaving, by the VM's address.
using vm_list = std::map<std::string, bool>;

/// Returns the VM list, or nothing when the text is invalid.
std::optional<vm_list> parseVmList(std::string_view text);

/// Tracks, from readings of the platform's VM list, which VMs get no new work. The list lags and may be wrong: when a reading
/// withdraws many VMs, only some are withdrawn at once and the rest after several readings. A VM that is live again is restored
/// at once.
class vm_view {
public:
    /// Applies a reading. Returns whether the set of withdrawn VMs changed.
    bool update(vm_list const&);

    /// Returns the addresses of VMs that are accepted as leaving or as missing from the list.
    std::set<std::string> const& withdrawn() const { return m_withdrawn; }
    /// Returns the number of VMs that a reading has ever listed as live.
    std::size_t size() const { return m_knownAddresses.size(); }

    /// Number of consecutive readings after which a withdrawal beyond the limit per reading is accepted.
    static constexpr unsigned readingsToAccept = 3;
    /// Divisor of the limit per reading: one reading may withdraw one in this number of the VMs in use, and at least one VM.
    static constexpr std::size_t withdrawalDivisor = 10;

private:
    /// Addresses of all VMs that a reading has ever listed as live.
    std::set<std::string> m_knownAddresses;
    std::set<std::string> m_withdrawn;
    /// Number of consecutive readings that withdrew the VM, by address.
    std::map<std::string, unsigned> m_withdrawnReadings;
};

}

#pragma once

#include "Libraries/zinnialedge/forwarding/leaf_record.h"
#include "Libraries/zinnialedge/forwarding/route_table.h"
#include <optional>
#include <span>
#include <unordered_map>

namespace zinnialedge::forwarding {

/// A leaf's place in the roster; never used again for another leaf.
using leaf_handle = std::uint32_t;

struct leaf_pick {
    leaf_handle leaf { 0 };
    /// No leaf of the service was sound.
    bool isSuspect { false };
};

/// All leafs by service, and the choice among them.
class leaf_roster {
public:
    leaf_roster(std::string ownDataCentre, kernel::random_hook);

    /// Takes over the whole list.
    void replace(std::vector<leaf_registration> const&, kernel::time_point now);
    /// What a leaf accepts is shared by that many daemons.
    void setSharing(route_table_pointer, std::size_t daemonCount);

    /// A leaf has answered a call in that time.
    void noteUsual(kernel::duration callTime);

    leaf_record& at(leaf_handle leaf) { return m_leafs.at(leaf); }
    leaf_record const& at(leaf_handle leaf) const { return m_leafs.at(leaf); }
    std::size_t size() const { return m_byId.size(); }

    /// The leaf of the service that is expected to answer first, apart from those excluded. Nothing when none has a
    /// connection left. Leafs of the own data centre are preferred.
    std::optional<leaf_pick> pick(std::string const& service, std::span<leaf_handle const> excluded, kernel::duration patience, kernel::time_point now) const;
    /// How long the quickest leaf of the service has been taking of late; nothing when none takes calls.
    std::optional<kernel::duration> recentDelay(std::string const& service, kernel::time_point now) const;
    /// Whether a leaf of the service in that data centre takes calls and is sound.
    bool hasSoundLeafIn(std::string const& service, std::string const& dataCentre, kernel::duration patience, kernel::time_point now) const;
    std::vector<leaf_handle> leafsIn(std::string const& service, std::string const& dataCentre) const;
    /// Whether any leaf takes calls of the service, connections or not, apart from those excluded.
    bool hasLeaf(std::string const& service, std::span<leaf_handle const> excluded) const;
    std::string const& ownDataCentre() const { return m_ownDataCentre; }

private:
    std::uint32_t connectionLimitOf(std::string const& service) const;

    std::string m_ownDataCentre;
    kernel::random_hook m_random;
    route_table_pointer m_routes;
    std::size_t m_daemonCount { 1 };
    double m_usualMicroseconds { 0 };
    std::uint64_t m_usualSamples { 0 };
    std::unordered_map<leaf_handle, leaf_record> m_leafs;
    std::unordered_map<std::string, leaf_handle> m_byId;
    std::unordered_map<std::string, std::vector<leaf_handle>> m_byService;
    leaf_handle m_lastHandle { 0 };
};

}

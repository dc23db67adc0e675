#pragma once

#include "Libraries/zinnialedge/allowances/cold_share.h"
#include "Libraries/zinnialedge/allowances/tenant_quotas.h"
#include "Libraries/zinnialedge/fleet/store_budget.h"
#include "Libraries/zinnialedge/forwarding/extra_call_budget.h"
#include "Libraries/zinnialedge/model/endpoint.h"
#include "Libraries/zinnialedge/pacing/leaf_pace.h"
#include <chrono>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace zinnialedge::configuration {

/// Share of a machine that this VM may use.
struct vm_capacity {
    /// Processor share in cores, possibly a fraction.
    double processor { 0 };
    /// Bandwidth of the VM's link in Mbit/s.
    double linkMegabits { 0 };
    /// Memory that a process may use, in MiB.
    std::size_t memoryMegabytes { 256 };
    /// Number of descriptors that a process may have open.
    std::size_t descriptors { 4096 };

    bool operator==(vm_capacity const&) const = default;
};

/// Settings of a daemon that forwards requests by declared routes, as read from the settings file.
struct edge_settings {
    std::string name;
    std::string region;
    std::string dataCentre;
    model::endpoint callers;
    model::endpoint readiness;
    model::endpoint directory;
    /// Endpoint for UDP and TCP between daemons. All daemons of a deployment use the same port.
    model::endpoint peers;
    /// TCP endpoint for relayed leaf calls between daemons. All daemons of a deployment use the same port.
    model::endpoint relays;
    model::endpoint operators;
    model::endpoint store;
    /// Daemons to contact first; some may be stale or down. The port is always the port of `peers`.
    std::vector<model::endpoint> seeds;
    forwarding::extra_call_limits extraCalls;
    fleet::store_rates storeRates;
    /// Requests above the quotas of tenants that all daemons together may let through; none when the setting is missing.
    allowances::quota_tolerance quotaTolerance;
    /// Time between the request to stop and the kill of the process.
    std::chrono::milliseconds stopTimeLimit { 6000 };
    /// Longest pause that a leaf may ask for; longer pauses are ignored as malformed.
    std::chrono::milliseconds maximumLeafPause { std::chrono::hours { 1 } };
    /// Local address of the connections to leafs, for a VM with several; empty when the system chooses it.
    std::string leafCallSource;
    /// Empty when the deployment does not tell the capacity of the VM.
    std::optional<vm_capacity> capacity;
    /// Whether the daemon reads evacuations of data centres from the store.
    bool readsEvacuations { false };
    /// Tolerance of the request limit of cold leafs.
    allowances::cold_leaf_tolerance coldLeafs;
    /// Services for whose leafs the pace is determined after a start.
    pacing::pace_scope leafPace { pacing::pace_scope::declared };
    std::string logLevel { "info" };

    bool operator==(edge_settings const&) const = default;
};

/// Names of the settings that differ between two versions of the settings file.
struct edge_settings_change {
    /// Settings that a running daemon applies at once.
    std::vector<std::string> appliedAtOnce;
    /// Settings that require new sockets or a new name and take effect at the next start.
    std::vector<std::string> appliedAtNextStart;

    bool operator==(edge_settings_change const&) const = default;
};

/// Returns the names of the settings that differ.
edge_settings_change compareSettings(edge_settings const& before, edge_settings const& after);

/// Returns the settings, or one line for each problem of the text.
tl::expected<edge_settings, std::vector<std::string>> parseEdgeSettings(std::string_view text);

}

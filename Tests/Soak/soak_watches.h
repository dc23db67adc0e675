#pragma once

#include "Tests/Soak/evacuation_watch.h"
#include "Tests/Soak/marked_request_watch.h"
#include "Tests/Soak/quota_watch.h"
#include "Tests/Soak/soak_checker.h"
#include "Tests/Soak/tenant_watch.h"
#include <memory>

namespace zinnialedge::tests::soak {

/// What all leafs and callers of a run report to.
struct soak_watches {
    soak_watches(std::uint64_t tenantSeed, std::size_t daemons)
        : faults(daemons)
        , tenants(tenantSeed, faults)
        , evacuations(daemons, faults)
    {
    }

    soak_checker checker;
    std::vector<std::unique_ptr<marked_request_watch>> marked;
    fault_times faults;
    tenant_watch tenants;
    quota_watch quotas;
    evacuation_watch evacuations;
    /// Daemons by the address from which they call leafs.
    std::map<std::string, std::size_t> daemonsByAddress;
};

}

#pragma once

#include "Kernel/metrics_text.h"
#include "Libraries/zinnialedge/access/tenant_counts.h"

namespace zinnialedge::services::traffic {

/// Appends the requests of each tenant to the metrics: one sample for each of the tenants with the most requests, and the sum of the
/// others.
void describeTenants(access::tenant_counts const&, kernel::metrics_text&);

}

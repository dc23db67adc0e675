#pragma once

#include "Kernel/metrics_text.h"
#include "Libraries/zinnialedge/access/tenant_counts.h"
#include "Libraries/zinnialedge/limits/admission_counts.h"

namespace zinnialedge::services::traffic {

/// Appends the requests of each tenant to the metrics: one sample for each of the tenants with the most requests, and the sum of the
/// others.
void describeTenants(access::tenant_counts const&, kernel::metrics_text&);

/// Appends the requests over shards that were admitted and rejected, by priority class.
void describeAdmissions(limits::admission_counts const&, kernel::metrics_text&);

}

#pragma once

#include <gflags/gflags_declare.h>

DECLARE_uint64(seed);
DECLARE_uint64(seconds);
DECLARE_uint64(daemons);
DECLARE_uint64(shards);
DECLARE_bool(daemon_faults);
DECLARE_bool(link_faults);
DECLARE_bool(leaf_faults);
DECLARE_bool(marked_requests);
DECLARE_bool(tenants);
DECLARE_bool(quotas);
DECLARE_bool(evacuations);
DECLARE_bool(planned_stops);
DECLARE_string(old_programs);
DECLARE_uint64(old_daemons);
DECLARE_string(logs);

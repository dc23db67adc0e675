#pragma once

#include "Libraries/zinnialedge/errors/error_kind.h"

namespace zinnialedge::utilities::control {

/// Exit codes of zlctl.
enum class exit_code {
    success = 0,
    rejected = 1,
    invalid_input = 2,
    unreachable = 3,
    conflict = 4,
    /// Result of the diff command when the file differs from the configuration in effect.
    differences_found = 5,
    outcome_unknown = 6,
};

exit_code exitCodeFor(errors::error_kind);

}

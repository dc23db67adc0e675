#pragma once

#include "Libraries/zinnialedge/errors/error_kind.h"

namespace zinnialedge::utilities::control {

/// What zlctl tells scripts.
enum class exit_code {
    done = 0,
    refused = 1,
    wrong_input = 2,
    unreachable = 3,
    conflict = 4,
    /// For diff: the file and what is in force differ.
    differs = 5,
    outcome_unknown = 6,
};

exit_code exitCodeFor(errors::error_kind);

}

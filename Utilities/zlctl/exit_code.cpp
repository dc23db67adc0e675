#include "Utilities/zlctl/exit_code.h"

namespace zinnialedge::utilities::control {

exit_code exitCodeFor(errors::error_kind kind)
{
    switch (kind) {
    case errors::error_kind::malformed_command:
    case errors::error_kind::malformed_request:
    case errors::error_kind::request_too_large:
        return exit_code::invalid_input;
    case errors::error_kind::conflict:
        return exit_code::conflict;
    case errors::error_kind::outcome_unknown:
        return exit_code::outcome_unknown;
    default:
        return exit_code::rejected;
    }
}

}

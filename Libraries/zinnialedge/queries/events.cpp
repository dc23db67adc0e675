#include "Libraries/zinnialedge/queries/events.h"

namespace zinnialedge::queries {

bool leaf_outcome::isUnrun() const
{
    if (kind == leaf_outcome_kind::failed)
        return !mayHaveBeenSent;
    // A cancelled call may have been running.
    return kind == leaf_outcome_kind::refused && refusal != leaf_refusal::cancelled && refusal != leaf_refusal::none;
}

}

#include "Libraries/zinnialedge/queries/events.h"

namespace zinnialedge::queries {

bool leaf_outcome::isKnownUnexecuted() const
{
    if (kind == leaf_outcome_kind::failed)
        return !mayHaveBeenSent;
    // A cancelled call may have started to run before the cancellation arrived.
    return kind == leaf_outcome_kind::refused && refusal != leaf_refusal::cancelled && refusal != leaf_refusal::none;
}

}

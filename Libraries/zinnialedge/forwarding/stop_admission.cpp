#include "Libraries/zinnialedge/forwarding/stop_admission.h"

namespace zinnialedge::forwarding {

std::optional<stop_conflict> stop_admission::findConflict(serving_estimate estimate, kernel::time_point now) const
{
    auto const timeLeft = m_answersDueAt.value_or(now) - now;
    if (m_isRejectingAll)
        return stop_conflict { { estimate.expected, "drain" }, timeLeft };
    if (!m_answersDueAt || estimate.expected <= timeLeft)
        return std::nullopt;
    return stop_conflict { estimate, timeLeft };
}

}

#include "Libraries/zinnialedge/quarantine/suspect_notice.h"

#include <algorithm>

namespace zinnialedge::quarantine {

using kernel::time_point;
using std::chrono::microseconds;

/// Ages above this say no more than this; also prevents overflow of time points.
static constexpr std::chrono::hours maximumAge { 24 };

static microseconds ageOf(time_point at, time_point now)
{
    return std::clamp<microseconds>(std::chrono::duration_cast<microseconds>(now - at), microseconds { 0 }, maximumAge);
}

static time_point timeAt(microseconds age, time_point now)
{
    return now - std::clamp<microseconds>(age, microseconds { 0 }, maximumAge);
}

suspect_notice makeNotice(suspect const& told, time_point now)
{
    suspect_notice notice { .request = told.request };
    for (auto const& loss : told.losses)
        notice.losses.push_back({ loss.leaf, ageOf(loss.sentAt, now), ageOf(loss.lostAt, now), loss.isRefuted });
    if (told.trialAt != time_point {})
        notice.trialAge = ageOf(told.trialAt, now);
    notice.unansweredTrialCount = told.unansweredTrialCount;
    if (told.clearedAt != time_point {})
        notice.clearedAge = ageOf(told.clearedAt, now);
    return notice;
}

suspect readNotice(suspect_notice const& notice, time_point now)
{
    suspect told { .request = notice.request };
    for (std::size_t index = 0; index < std::min(notice.losses.size(), maximumLossCount); ++index) {
        auto const& loss = notice.losses[index];
        told.losses.push_back({ loss.leaf, timeAt(std::max(loss.sentAge, loss.lostAge), now), timeAt(loss.lostAge, now), loss.isRefuted });
    }
    if (notice.trialAge)
        told.trialAt = timeAt(*notice.trialAge, now);
    told.unansweredTrialCount = notice.unansweredTrialCount;
    if (notice.clearedAge)
        told.clearedAt = timeAt(*notice.clearedAge, now);
    return told;
}

std::size_t maximumEncodedBytes(suspect_notice const& notice)
{
    // A number takes ten bytes at most, and an age of a day six; each field has a header.
    static constexpr std::size_t fixedBytes = request_digest::byteCount + 28;
    static constexpr std::size_t bytesPerLoss = 28;
    return fixedBytes + bytesPerLoss * notice.losses.size();
}

}

#include "Libraries/zinnialedge/limits/early_returns.h"

#include <algorithm>
#include <string>
#include <xxhash.h>

namespace zinnialedge::limits {

using kernel::time_point;

/// Maximum number of rejected queries that are remembered. The oldest are forgotten first and may return at any time.
static constexpr std::size_t maximumExpected = 4096;
/// Longer than the longest retry-after and the time within which a caller keeps to it.
static constexpr std::chrono::seconds rememberedTime { 4 };
/// Time by which a query may be early: clocks and timers of callers are not exact.
static constexpr std::chrono::milliseconds tolerance { 5 };

std::uint64_t early_returns::fingerprint(std::initializer_list<std::string_view> fields) const
{
    auto hash = m_seed;
    for (auto const field : fields)
        hash = XXH3_64bits_withSeed(field.data(), field.size(), hash);
    return hash;
}

void early_returns::removeOld(time_point now)
{
    while (!m_order.empty() && (m_order.size() > maximumExpected || now - m_order.front().first > rememberedTime)) {
        auto const [rejectedAt, fingerprint] = m_order.front();
        m_order.pop_front();
        auto const found = m_expected.find(fingerprint);
        if (found == m_expected.end())
            continue;
        // The return may have been taken off the count already.
        while (!found->second.empty() && found->second.front().rejectedAt <= rejectedAt)
            found->second.pop_front();
        if (found->second.empty())
            m_expected.erase(found);
    }
}

void early_returns::recordRejection(std::uint64_t fingerprint, time_point returnAt, time_point now)
{
    m_expected[fingerprint].push_back({ now, returnAt });
    m_order.emplace_back(now, fingerprint);
    removeOld(now);
}

bool early_returns::takeReturn(std::uint64_t fingerprint, time_point now)
{
    removeOld(now);
    auto const found = m_expected.find(fingerprint);
    if (found == m_expected.end())
        return false;
    auto& expected = found->second;
    bool const isEarly = expected.front().returnAt > now + tolerance;
    // A query that returns early gives its time up, and gets a later one if it is rejected again.
    if (isEarly)
        expected.pop_back();
    else
        expected.pop_front();
    if (expected.empty())
        m_expected.erase(found);
    return isEarly;
}

}

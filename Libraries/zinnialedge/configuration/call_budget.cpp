#include "Libraries/zinnialedge/configuration/call_budget.h"

#include <algorithm>

namespace zinnialedge::configuration {

call_budget::call_budget(double callsPerSecond, double burst)
    : m_callsPerSecond(callsPerSecond)
    , m_burst(burst)
    , m_tokens(burst)
{
}

void call_budget::setRate(kernel::time_point now, double callsPerSecond)
{
    (void)available(now);
    m_callsPerSecond = callsPerSecond;
}

double call_budget::available(kernel::time_point now)
{
    std::chrono::duration<double> const elapsed = now - m_refilledAt;
    m_refilledAt = now;
    m_tokens = std::min(m_burst, m_tokens + elapsed.count() * m_callsPerSecond);
    return m_tokens;
}

bool call_budget::take(kernel::time_point now, double reserved)
{
    if (available(now) < 1 + reserved) {
        ++m_deniedCount;
        return false;
    }
    m_tokens -= 1;
    ++m_takenCount;
    return true;
}

kernel::time_point call_budget::nextAvailableAt(kernel::time_point now, double reserved)
{
    auto const missingTokens = 1 + reserved - available(now);
    if (missingTokens <= 0)
        return now;
    return now + std::chrono::ceil<std::chrono::milliseconds>(std::chrono::duration<double> { missingTokens / m_callsPerSecond });
}

}

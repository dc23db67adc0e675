#include "Libraries/zinnialedge/limits/held_maximum.h"

#include <algorithm>

namespace zinnialedge::limits {

using kernel::time_point;

held_maximum::held_maximum(double value, kernel::duration holdTime)
    : m_holdTime(holdTime)
    , m_current(value)
{
}

void held_maximum::set(double value, time_point now)
{
    std::erase_if(m_formerValues, [&](auto const& former) { return former.value <= m_current || now - former.replacedAt >= m_holdTime; });
    if (value < m_current)
        m_formerValues.push_back({ m_current, now });
    m_current = value;
}

double held_maximum::value(time_point now) const
{
    auto greatest = m_current;
    for (auto const& former : m_formerValues) {
        if (now - former.replacedAt < m_holdTime)
            greatest = std::max(greatest, former.value);
    }
    return greatest;
}

}

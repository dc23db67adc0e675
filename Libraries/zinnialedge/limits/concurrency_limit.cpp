#include "Libraries/zinnialedge/limits/concurrency_limit.h"

#include <algorithm>

namespace zinnialedge::limits {

static constexpr double decreaseFactor = 0.7;

concurrency_limit::concurrency_limit(std::uint32_t initial, std::uint32_t maximum, std::uint32_t minimum)
    : m_value(std::max(minimum, std::min(initial, maximum)))
    , m_maximum(std::max(minimum, maximum))
    , m_minimum(minimum)
{
}

void concurrency_limit::recordSuccess(bool wasAtLimit)
{
    // A success below the limit is no evidence that the leaf could handle a higher limit.
    if (wasAtLimit)
        m_value = std::min(m_maximum, m_value + 1 / m_value);
}

void concurrency_limit::recordShed()
{
    m_value = std::max(m_minimum, m_value * decreaseFactor);
}

void concurrency_limit::setMaximum(std::uint32_t maximum)
{
    m_maximum = std::max(m_minimum, static_cast<double>(maximum));
    m_value = std::min(m_value, m_maximum);
}

}

#include "Libraries/zinnialedge/limits/token_bucket.h"

#include <algorithm>

namespace zinnialedge::limits {

token_bucket::token_bucket(double tokensPerEarning, double burst)
    : m_tokensPerUnit(tokensPerEarning)
    , m_burst(burst)
    , m_tokenCount(burst)
{
}

void token_bucket::setRate(double tokensPerEarning, double burst)
{
    m_tokensPerUnit = tokensPerEarning;
    m_burst = burst;
    m_tokenCount = std::min(m_tokenCount, burst);
}

void token_bucket::earn(std::uint64_t times)
{
    m_tokenCount = std::min(m_burst, m_tokenCount + m_tokensPerUnit * static_cast<double>(times));
}

bool token_bucket::tryConsume(double reserve)
{
    if (m_tokenCount < 1 + reserve)
        return false;
    m_tokenCount -= 1;
    return true;
}

void token_bucket::refund()
{
    m_tokenCount = std::min(m_burst, m_tokenCount + 1);
}

}

#include "Libraries/zinnialedge/limits/token_bucket.h"

#include <algorithm>

namespace zinnialedge::limits {

token_bucket::token_bucket(double tokensPerEarning, double burst)
    : m_tokensPerEarning(tokensPerEarning)
    , m_burst(burst)
    , m_tokens(burst)
{
}

void token_bucket::setRate(double tokensPerEarning, double burst)
{
    m_tokensPerEarning = tokensPerEarning;
    m_burst = burst;
    m_tokens = std::min(m_tokens, burst);
}

void token_bucket::earn(std::uint64_t times)
{
    m_tokens = std::min(m_burst, m_tokens + m_tokensPerEarning * static_cast<double>(times));
}

bool token_bucket::take(double reserve)
{
    if (m_tokens < 1 + reserve)
        return false;
    m_tokens -= 1;
    return true;
}

void token_bucket::giveBack()
{
    m_tokens = std::min(m_burst, m_tokens + 1);
}

}

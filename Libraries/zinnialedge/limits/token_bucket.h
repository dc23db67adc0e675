#pragma once

#include <cstdint>

namespace zinnialedge::limits {

/// Token budget that earns a fraction of a token for each unit of completed work, up to a burst size.
class token_bucket {
public:
    token_bucket(double tokensPerEarning, double burst);

    /// Sets the earning rate and the burst size. Tokens in the bucket are kept, up to the new burst size.
    void setRate(double tokensPerEarning, double burst);
    void earn(std::uint64_t times = 1);
    /// Consumes a token unless fewer than `reserve` tokens would remain. Returns whether a token was consumed.
    [[nodiscard]] bool tryConsume(double reserve = 0);
    /// Puts back a token that was consumed but not used.
    void refund();
    double tokens() const { return m_tokenCount; }

private:
    double m_tokensPerUnit;
    double m_burst;
    double m_tokenCount;
};

}

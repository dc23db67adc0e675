#pragma once

#include <cstdint>

namespace zinnialedge::limits {

/// A budget that grows by a fraction of a token for each unit of paid work, up to a burst.
class token_bucket {
public:
    token_bucket(double tokensPerEarning, double burst);

    /// Changes how it grows. What it holds stays, up to the new burst.
    void setRate(double tokensPerEarning, double burst);
    void earn(std::uint64_t times = 1);
    /// Takes a token unless that would leave fewer than `reserve`.
    [[nodiscard]] bool take(double reserve = 0);
    /// Returns a token that was taken and not used.
    void giveBack();
    double tokens() const { return m_tokens; }

private:
    double m_tokensPerEarning;
    double m_burst;
    double m_tokens;
};

}

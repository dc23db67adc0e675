#pragma once

#include <chrono>
#include <memory>

namespace zinnialedge::limits {

/// Quantile of recent latencies. The weight of old samples is halved after each window of new samples.
class moving_quantile {
public:
    moving_quantile(double quantile, std::chrono::microseconds initial);
    moving_quantile(moving_quantile&&) noexcept;
    moving_quantile& operator=(moving_quantile&&) noexcept;
    ~moving_quantile();

    void add(std::chrono::microseconds);
    std::chrono::microseconds value() const { return m_value; }

private:
    class implementation;

    void refresh();

    std::unique_ptr<implementation> m_implementation;
    double m_quantile;
    std::chrono::microseconds m_value;
    unsigned m_samplesSinceRefresh { 0 };
    unsigned m_samplesSinceDecay { 0 };
};

}

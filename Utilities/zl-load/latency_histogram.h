#pragma once

#include <chrono>
#include <memory>

namespace zinnialedge::utilities::load {

/// Histogram of latencies with a resolution of about one percent.
class latency_histogram {
public:
    latency_histogram();
    latency_histogram(latency_histogram&&) noexcept;
    latency_histogram& operator=(latency_histogram&&) noexcept;
    ~latency_histogram();

    void add(std::chrono::microseconds);
    /// Returns the quantile in milliseconds, or zero when there are no samples.
    double quantile(double) const;
    std::uint64_t count() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

}

#pragma once

#include <chrono>
#include <memory>

namespace zinnialedge::utilities::load {

/// Latencies with a resolution of about one percent.
class latency_histogram {
public:
    latency_histogram();
    latency_histogram(latency_histogram&&) noexcept;
    latency_histogram& operator=(latency_histogram&&) noexcept;
    ~latency_histogram();

    void add(std::chrono::microseconds);
    /// In milliseconds; zero when there is no sample.
    double quantile(double) const;
    std::uint64_t count() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

}

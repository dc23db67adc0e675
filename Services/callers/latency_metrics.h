#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <string>

namespace zinnialedge::services::callers {

/// Query latency histograms by service and outcome.
class latency_metrics {
public:
    latency_metrics();
    ~latency_metrics();

    void add(std::string const& service, std::string const& outcome, std::chrono::microseconds);
    /// Returns the histograms in the Prometheus text format.
    std::string describe() const;

private:
    class histogram;
    struct series_key {
        std::string service;
        std::string outcome;
        auto operator<=>(series_key const&) const = default;
    };

    std::map<series_key, std::unique_ptr<histogram>> m_histograms;
};

}

#include "Services/callers/latency_metrics.h"

#include <boost/histogram.hpp>
#include <sstream>

namespace zinnialedge::services::callers {

static constexpr unsigned bucketCount = 24;
static constexpr double lowestBucketBoundSeconds = 0.0005;
static constexpr double highestBucketBoundSeconds = 60;
static constexpr double microsecondsPerSecond = 1e6;

using log_axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

class latency_metrics::histogram {
public:
    histogram()
        : m_bucketCounts(boost::histogram::make_histogram(log_axis { bucketCount, lowestBucketBoundSeconds, highestBucketBoundSeconds }))
    {
    }

    void add(double seconds)
    {
        m_bucketCounts(seconds);
        m_secondsSum += seconds;
    }

    void describe(std::ostream& text, std::string const& labels) const
    {
        double total = 0;
        for (auto&& bucket : boost::histogram::indexed(m_bucketCounts, boost::histogram::coverage::all)) {
            total += *bucket;
            auto const upperBound = bucket.bin(0).upper();
            text << "zinnialedge_query_seconds_bucket{" << labels << ",le=\"";
            if (std::isinf(upperBound))
                text << "+Inf";
            else
                text << upperBound;
            text << "\"} " << total << "\n";
        }
        text << "zinnialedge_query_seconds_sum{" << labels << "} " << m_secondsSum << "\n";
        text << "zinnialedge_query_seconds_count{" << labels << "} " << total << "\n";
    }

private:
    decltype(boost::histogram::make_histogram(std::declval<log_axis>())) m_bucketCounts;
    double m_secondsSum { 0 };
};

latency_metrics::latency_metrics() = default;
latency_metrics::~latency_metrics() = default;

void latency_metrics::add(std::string const& service, std::string const& outcome, std::chrono::microseconds latency)
{
    auto& matchingHistogram = m_histograms[{ service, outcome }];
    if (!matchingHistogram)
        matchingHistogram = std::make_unique<histogram>();
    matchingHistogram->add(static_cast<double>(latency.count()) / microsecondsPerSecond);
}

std::string latency_metrics::describe() const
{
    std::ostringstream text;
    text << "# TYPE zinnialedge_query_seconds histogram\n";
    for (auto const& [key, counts] : m_histograms)
        counts->describe(text, "service=\"" + key.service + "\",outcome=\"" + key.outcome + "\"");
    return text.str();
}

}

#include "Utilities/zl-load/latency_histogram.h"

#include <boost/histogram.hpp>

namespace zinnialedge::utilities::load {

namespace histogram = boost::histogram;

static constexpr unsigned bucketCount = 1600;
static constexpr double lowestMicroseconds = 10;
static constexpr double highestMicroseconds = 100'000'000;
static constexpr double microsecondsPerMillisecond = 1000;

using log_axis = histogram::axis::regular<double, histogram::axis::transform::log>;

class latency_histogram::implementation {
public:
    implementation()
        : counts(histogram::make_histogram(log_axis { bucketCount, lowestMicroseconds, highestMicroseconds }))
    {
    }

    decltype(histogram::make_histogram(std::declval<log_axis>())) counts;
    std::uint64_t total { 0 };
};

latency_histogram::latency_histogram()
    : m_implementation(std::make_unique<implementation>())
{
}

latency_histogram::latency_histogram(latency_histogram&&) noexcept = default;
latency_histogram& latency_histogram::operator=(latency_histogram&&) noexcept = default;
latency_histogram::~latency_histogram() = default;

void latency_histogram::add(std::chrono::microseconds latency)
{
    m_implementation->counts(static_cast<double>(latency.count()));
    ++m_implementation->total;
}

std::uint64_t latency_histogram::count() const
{
    return m_implementation->total;
}

double latency_histogram::quantile(double probability) const
{
    double const rank = probability * static_cast<double>(m_implementation->total);
    double cumulativeCount = 0;
    for (auto&& cell : histogram::indexed(m_implementation->counts, histogram::coverage::all)) {
        cumulativeCount += *cell;
        if (cumulativeCount >= rank && cumulativeCount > 0)
            return cell.bin(0).upper() / microsecondsPerMillisecond;
    }
    return 0;
}

}

#include "Libraries/zinnialedge/limits/moving_quantile.h"

#include <boost/histogram.hpp>
#include <vector>

namespace zinnialedge::limits {

namespace histogram = boost::histogram;

static constexpr unsigned bucketCount = 200;
static constexpr double lowestMicroseconds = 10;
static constexpr double highestMicroseconds = 10'000'000;
static constexpr unsigned samplesPerRefresh = 64;
static constexpr unsigned samplesPerDecay = 2048;

using log_axis = histogram::axis::regular<double, histogram::axis::transform::log>;

class moving_quantile::implementation {
public:
    implementation()
        : m_counts(histogram::make_histogram_with(std::vector<double> {}, log_axis { bucketCount, lowestMicroseconds, highestMicroseconds }))
    {
    }

    void add(double microseconds) { m_counts(microseconds); }
    void decay() { m_counts *= 0.5; }

    double find(double quantile) const
    {
        double const targetCount = quantile * histogram::algorithm::sum(m_counts);
        double cumulativeCount = 0;
        for (auto&& cell : histogram::indexed(m_counts, histogram::coverage::all)) {
            cumulativeCount += *cell;
            if (cumulativeCount >= targetCount)
                return cell.bin(0).upper();
        }
        return highestMicroseconds;
    }

private:
    decltype(histogram::make_histogram_with(std::vector<double> {}, std::declval<log_axis>())) m_counts;
};

moving_quantile::moving_quantile(double quantile, std::chrono::microseconds initial)
    : m_implementation(std::make_unique<implementation>())
    , m_quantile(quantile)
    , m_value(initial)
{
}

moving_quantile::moving_quantile(moving_quantile&&) noexcept = default;
moving_quantile& moving_quantile::operator=(moving_quantile&&) noexcept = default;
moving_quantile::~moving_quantile() = default;

void moving_quantile::add(std::chrono::microseconds sample)
{
    m_implementation->add(static_cast<double>(sample.count()));
    if (++m_samplesSinceDecay >= samplesPerDecay) {
        m_samplesSinceDecay = 0;
        m_implementation->decay();
    }
    if (++m_samplesSinceRefresh >= samplesPerRefresh)
        refresh();
}

void moving_quantile::refresh()
{
    m_samplesSinceRefresh = 0;
    m_value = std::chrono::microseconds { static_cast<std::int64_t>(m_implementation->find(m_quantile)) };
}

}

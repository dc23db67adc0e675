#pragma once

#include "Kernel/clock.h"
#include <atomic>
#include <mutex>
#include <string>
#include <vector>

namespace zinnialedge::tests::soak {

/// Request limit of one leaf, and a check of the requests that arrive while the leaf names it. Thread-safe.
class limit_watch {
public:
    /// Sets the number of requests per second that the leaf names from now on; zero for no limit.
    void setLimit(double requestsPerSecond);
    /// Records the arrival of a request and returns the limit that the reply names, or zero.
    double recordArrival();
    /// Returns descriptions of all spans in which more requests arrived than the limit tolerates.
    std::vector<std::string> findings() const;

private:
    /// Time for which the leaf named one limit.
    struct limited_span {
        double requestsPerSecond { 0 };
        kernel::time_point begin;
        kernel::time_point end;
        std::vector<kernel::time_point> arrivals;
    };

    mutable std::mutex m_mutex;
    std::vector<limited_span> m_spans;
    bool m_isLimited { false };
};

}

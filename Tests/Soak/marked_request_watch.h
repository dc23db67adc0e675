#pragma once

#include "Kernel/clock.h"
#include <mutex>
#include <string>
#include <vector>

namespace zinnialedge::tests::soak {

/// A request that ends each leaf that runs it, and a check of how often it reaches leafs. Thread-safe.
class marked_request_watch {
public:
    explicit marked_request_watch(std::string target)
        : m_target(std::move(target))
    {
    }

    std::string const& target() const { return m_target; }
    /// Records that the request reached a leaf and ended it, over a link without faults.
    void recordEnd();
    /// Returns descriptions of what the rule of the platform's page does not allow.
    std::vector<std::string> findings() const;

private:
    std::string m_target;
    mutable std::mutex m_mutex;
    std::vector<kernel::time_point> m_ends;
};

}

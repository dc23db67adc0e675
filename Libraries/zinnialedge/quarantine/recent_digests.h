#pragma once

#include "Kernel/clock.h"
#include "Libraries/zinnialedge/quarantine/request_digest.h"
#include <set>

namespace zinnialedge::quarantine {

/// Digests that were added lately. Many others drive an older one out; one that is added again and again stays.
class recent_digests {
public:
    void add(request_digest const&, kernel::time_point now);
    /// Returns whether the digest was added lately: within one span, and not longer ago than two.
    bool contains(request_digest const&, kernel::time_point now) const;

    static constexpr std::chrono::seconds span { 15 };
    static constexpr std::size_t capacity = 1024;

private:
    std::set<request_digest> m_current;
    std::set<request_digest> m_previous;
    kernel::time_point m_currentSince;
};

}

#pragma once

#include "Kernel/clock.h"
#include "Libraries/zinnialedge/quarantine/request_digest.h"
#include <functional>

namespace zinnialedge::quarantine {

/// What the calls of a request have shown about it. Calls share it, since they may end after their request.
class request_evidence {
public:
    explicit request_evidence(std::function<request_digests()> computeDigests)
        : m_computeDigests(std::move(computeDigests))
    {
    }

    /// Returns the digests of the request, which are computed only once and only when needed.
    request_digests const& digests()
    {
        if (m_digests.empty())
            m_digests = m_computeDigests();
        return m_digests;
    }
    /// Records that a leaf ran the request and replied, so that the request does not end every leaf that runs it.
    void recordSuccess() { m_hasSucceeded = true; }
    bool hasSucceeded() const { return m_hasSucceeded; }
    /// Records that a call for this request tries again whether it ends leafs.
    void beginTrial(kernel::time_point now) { m_trialBeganAt = m_trialBeganAt.value_or(now); }
    std::optional<kernel::time_point> trialBeganAt() const { return m_trialBeganAt; }

private:
    std::function<request_digests()> m_computeDigests;
    request_digests m_digests;
    bool m_hasSucceeded { false };
    std::optional<kernel::time_point> m_trialBeganAt;
};

}

#pragma once

#include "Libraries/zinnialedge/quarantine/request_digest.h"
#include <functional>

namespace zinnialedge::quarantine {

/// What the calls of a request have shown about it. Calls share it, since they may end after their request.
class request_evidence {
public:
    explicit request_evidence(std::function<request_digest()> computeDigest)
        : m_computeDigest(std::move(computeDigest))
    {
    }

    /// Returns the digest of the request, which is computed only once and only when needed.
    request_digest const& digest()
    {
        if (!m_digest)
            m_digest = m_computeDigest();
        return *m_digest;
    }
    /// Records that a leaf ran the request and replied, so that the request does not end every leaf that runs it.
    void recordSuccess() { m_hasSucceeded = true; }
    bool hasSucceeded() const { return m_hasSucceeded; }

private:
    std::function<request_digest()> m_computeDigest;
    std::optional<request_digest> m_digest;
    bool m_hasSucceeded { false };
};

}

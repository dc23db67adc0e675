#include "Tests/Soak/marked_request_watch.h"

namespace zinnialedge::tests::soak {

using namespace std::chrono_literals;

/// The rule holds from this time after the third end on.
static constexpr auto settlingTime = 4s;
static constexpr std::size_t endsBeforeTheRule = 3;
static constexpr std::size_t toleratedCalls = 3;

void marked_request_watch::recordEnd()
{
    std::scoped_lock const lock { m_mutex };
    m_ends.push_back(std::chrono::steady_clock::now());
}

std::vector<std::string> marked_request_watch::findings() const
{
    std::scoped_lock const lock { m_mutex };
    if (m_ends.size() < endsBeforeTheRule)
        return {};
    std::size_t counted = 0;
    for (auto const at : m_ends)
        counted += at > m_ends[endsBeforeTheRule - 1] + settlingTime ? 1 : 0;
    if (counted <= toleratedCalls)
        return {};
    return { "BUDGET: " + m_target + " reached leafs " + std::to_string(counted) + " times more; " + std::to_string(m_ends.size()) + " ended in all" };
}

}

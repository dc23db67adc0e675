#pragma once

#include "Kernel/clock.h"
#include "Tests/Support/loopback_proxy.h"
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace zinnialedge::tests::soak {

/// Cuts daemons off from all leafs and restores them, and compares what their callers get with what the callers of other daemons get.
class link_faults {
public:
    /// Sets the links of a daemon to all leafs; no state restores them.
    using set_links_hook = std::function<void(std::size_t daemon, std::optional<link_state>)>;

    link_faults(std::uint64_t seed, std::size_t daemons, set_links_hook);

    /// Begins and ends cuts. Returns a description of what was done.
    std::vector<std::string> step();
    /// Ends all cuts.
    void restoreAll();
    /// Records the answer to a request that was sent to the daemon at the given time.
    void recordAnswer(std::size_t daemon, kernel::time_point sentAt, bool isServed);
    std::vector<std::string> findings() const;
    std::string summary() const;

private:
    struct daemon_links {
        std::optional<kernel::time_point> cutSince;
        kernel::time_point restoreAt;
    };

    struct served_count {
        std::size_t served { 0 };
        std::size_t requests { 0 };
    };

    void cut(std::size_t daemon, link_state, kernel::duration, kernel::time_point now);

    kernel::random_hook m_random;
    set_links_hook m_setLinks;
    std::size_t m_cutCount { 0 };
    mutable std::mutex m_mutex;
    std::vector<daemon_links> m_daemons;
    served_count m_cutOff;
    served_count m_others;
};

}

// Leafs that name a limit on their requests, seen from the leafs of real daemons.

#include "Tests/Support/http_call.h"
#include "Tests/Support/small_edge_fleet.h"
#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>

using namespace zinnialedge;
using namespace std::chrono_literals;
using tests::replySuccessfully;
using tests::scripted_reply;
using tests::sealedReply;
using tests::small_edge_fleet;
using tests::waitUntil;

namespace {

using time_point = std::chrono::steady_clock::time_point;

/// Bounds of the platform's page on limits: the rule holds from the first time after the first reply with a limit, for each window.
constexpr auto settlingTime = 4s;
constexpr auto countedWindow = 4s;
constexpr double toleratedFactor = 1.5;
constexpr std::size_t toleratedExcess = 5;

/// Arrivals of requests at a leaf that names a limit while one is set.
class limiting_leaf {
public:
    scripted_reply reply(std::string const& request)
    {
        std::scoped_lock const lock { m_mutex };
        m_arrivals.push_back(std::chrono::steady_clock::now());
        auto const limit = m_limit;
        return limit.empty() ? replySuccessfully(request) : scripted_reply { sealedReply(request, std::string(32, 'b'), "Server-Limit: " + limit + "\r\n"), false, false };
    }

    void setLimit(std::string limit)
    {
        std::scoped_lock const lock { m_mutex };
        m_limit = std::move(limit);
    }

    /// Returns the most arrivals in a window that begins at `from` or later.
    std::size_t mostArrivalsInWindow(time_point from) const
    {
        std::scoped_lock const lock { m_mutex };
        std::size_t most = 0;
        auto first = std::lower_bound(m_arrivals.begin(), m_arrivals.end(), from);
        for (auto last = first; last != m_arrivals.end(); ++last) {
            while (*last - *first > countedWindow)
                ++first;
            most = std::max(most, static_cast<std::size_t>(last - first) + 1);
        }
        return most;
    }

    std::size_t arrivalsSince(time_point from) const
    {
        std::scoped_lock const lock { m_mutex };
        return static_cast<std::size_t>(m_arrivals.end() - std::lower_bound(m_arrivals.begin(), m_arrivals.end(), from));
    }

private:
    mutable std::mutex m_mutex;
    std::string m_limit;
    std::vector<time_point> m_arrivals;
};

std::size_t allowedInWindow(double limit)
{
    return static_cast<std::size_t>(toleratedFactor * limit * std::chrono::duration<double> { countedWindow }.count()) + toleratedExcess;
}

}

TEST_GROUP(EdgeLeafLimit) {};

// Guards against daemons that each ignore, or each use up alone, the limit that a leaf has named for all of them together.
TEST(EdgeLeafLimit, DaemonsTogetherStayWithinTheLimitOfALeaf)
{
    static constexpr std::size_t daemonCount = 2;
    static constexpr double limit = 12;
    limiting_leaf leaf0;
    limiting_leaf leaf1;
    small_edge_fleet fleet { daemonCount, true, [&](std::string const& request) { return leaf0.reply(request); }, [&](std::string const& request) { return leaf1.reply(request); } };
    CHECK(waitUntil([&] { return fleet.resolveAddresses(0).size() == daemonCount; }));
    leaf0.setLimit("12");
    leaf1.setLimit("12");
    auto const namedAt = std::chrono::steady_clock::now();
    std::atomic<std::size_t> refused { 0 };
    std::atomic<std::size_t> failed { 0 };
    std::vector<std::thread> callers;
    // A caller waits for its answer before the next request, so that a few callers alone would adapt to the limit.
    static constexpr std::size_t callerCount = 12;
    callers.reserve(callerCount);
    for (std::size_t caller = 0; caller < callerCount; ++caller) {
        callers.emplace_back([&, caller] {
            for (std::size_t count = 0; std::chrono::steady_clock::now() < namedAt + settlingTime + countedWindow + 1s; ++count) {
                auto const status = fleet.post(caller % daemonCount, "/single/a", "a" + std::to_string(caller) + "-" + std::to_string(count), "order").status;
                refused += status == 503 ? 1 : 0;
                failed += status != 503 && status != 200 ? 1 : 0;
                std::this_thread::sleep_for(10ms);
            }
        });
    }
    for (auto& caller : callers)
        caller.join();
    LONGS_EQUAL(0, failed);
    for (auto const* const leaf : { &leaf0, &leaf1 }) {
        auto const most = leaf->mostArrivalsInWindow(namedAt + settlingTime);
        CHECK(most <= allowedInWindow(limit));
        // The leaf is not left idle either: at least half of what it takes is used while callers press.
        CHECK(2 * most >= static_cast<std::size_t>(limit * 4));
    }
    CHECK(refused > 0);
}

TEST(EdgeLeafLimit, EndOfTheLimitRestoresTheFullRate)
{
    limiting_leaf leaf0;
    limiting_leaf leaf1;
    small_edge_fleet fleet { 1, true, [&](std::string const& request) { return leaf0.reply(request); }, [&](std::string const& request) { return leaf1.reply(request); } };
    leaf0.setLimit("2");
    leaf1.setLimit("2");
    CHECK(waitUntil([&] { return fleet.post(0, "/single/a", "a", "order").status == 503; }));
    CHECK(fleet.daemon(0).process->waitForLine("reason=leafs_limited").has_value());
    leaf0.setLimit({});
    leaf1.setLimit({});
    CHECK(waitUntil([&] {
        std::size_t served = 0;
        for (int count = 0; count < 20; ++count)
            served += fleet.post(0, "/single/a", "b", "order").status == 200 ? 1 : 0;
        return served == 20;
    }));
}

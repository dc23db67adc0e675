// Load pattern: many daemons share a rate of which each may use only a fraction of a call per second.

#include "Libraries/zinnialedge/allowances/cold_share.h"
#include "Libraries/zinnialedge/fleet/limit_shares.h"
#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <vector>

using namespace zinnialedge;
using namespace std::chrono_literals;
using allowances::cold_share;
using allowances::rate_share;
using kernel::time_point;

namespace {

constexpr time_point start { 1h };

/// Returns the greatest number of calls in any second when all shares use each call as soon as it is available, and after an idle time.
std::size_t mostInOneSecond(std::vector<cold_share>& shares, std::chrono::milliseconds idleTime, std::chrono::milliseconds length)
{
    std::vector<time_point> calls;
    for (auto now = start + idleTime; now < start + idleTime + length; now += 5ms) {
        for (auto& share : shares) {
            while (share.allowsCall(now)) {
                share.recordCall(now);
                calls.push_back(now);
            }
        }
    }
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < calls.size(); ++last) {
        while (calls[last] - calls[first] > 1s)
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

}

TEST_GROUP(RateShare) {};

TEST(RateShare, CallsAccrueAtTheRateUpToTheBurst)
{
    rate_share share;
    share.setRate(4, 2, start);
    CHECK(!share.allowsCall(start));
    CHECK(share.nextCallAt(start) >= start + 250ms && share.nextCallAt(start) < start + 251ms);
    DOUBLES_EQUAL(2, share.availableCalls(start + 10s), 1e-9);
    share.consume(start + 10s);
    share.consume(start + 10s);
    CHECK(!share.allowsCall(start + 10s));
    CHECK(share.callInterval() == 250ms);
}

// Guards against idle daemons whose buckets fill up and that then call all at once.
TEST(RateShare, UnusedCallIsDroppedAndTheNextComesInItsTurn)
{
    rate_share share { allowances::unused_calls::dropped };
    share.setRate(0.5, 1.25, start);
    CHECK(share.allowsCall(start + 2100ms));
    CHECK(!share.allowsCall(start + 2600ms));
    CHECK(share.nextCallAt(start + 2600ms) >= start + 4s && share.nextCallAt(start + 2600ms) < start + 4001ms);
    CHECK(share.allowsCall(start + 100s + 100ms));
    CHECK(!share.allowsCall(start + 101s));
}

// Guards against a sum over all daemons above rate x overage + slack, for fractions of calls, after idle times, with known phases.
TEST(RateShare, SharesOfAFleetThatKnowsItselfStayWithinTheBound)
{
    for (auto const rate : { 2.0, 5.0, 20.0, 100.0 }) {
        for (std::size_t count = 1; count <= 30; ++count) {
            for (auto const idle : { 0ms, 777ms, 60'000ms }) {
                std::vector<cold_share> shares(count);
                for (std::size_t index = 0; index < count; ++index)
                    shares[index].set(rate, {}, { static_cast<double>(count), (static_cast<double>(index) + 0.5) / static_cast<double>(count) }, {}, start);
                CHECK(static_cast<double>(mostInOneSecond(shares, idle, 20s)) <= rate * 1.5 + 5);
            }
        }
    }
}

// Guards against daemons whose clocks differ, and against daemons that become full together when a leaf becomes cold.
TEST(RateShare, SharesWithClocksThatDifferStayWithinTheBound)
{
    auto const random = kernel::makeSeededRandom(3);
    for (auto const rate : { 2.0, 5.0, 20.0 }) {
        std::size_t runsAboveTheBound = 0;
        for (int run = 0; run < 100; ++run) {
            std::vector<cold_share> shares(30);
            for (auto& share : shares)
                share.set(rate, {}, { 30, 0 }, std::chrono::milliseconds { random() % 100'000 }, start);
            runsAboveTheBound += static_cast<double>(mostInOneSecond(shares, 60s, 20s)) > rate * 1.5 + 5 ? 1 : 0;
        }
        // Without a common clock the times are random: the bound holds with high probability only.
        CHECK(runsAboveTheBound <= 5);
    }
}

TEST(RateShare, PhasesOfKnownDaemonsAreSpreadAndThoseOfUnknownDaemonsDiffer)
{
    std::set<model::endpoint> all;
    for (int index = 1; index <= 30; ++index)
        all.insert({ "10.0.0." + std::to_string(index), 80 });
    std::vector<double> known;
    std::set<double> alone;
    for (auto const& each : all) {
        known.push_back(fleet::limitPhaseAmong(all, each));
        alone.insert(fleet::limitPhaseAmong({ each }, each));
    }
    std::sort(known.begin(), known.end());
    for (std::size_t index = 0; index < known.size(); ++index)
        CHECK(known[index] >= static_cast<double>(index) / 30 && known[index] < static_cast<double>(index + 1) / 30);
    CHECK(alone.size() > 25);
}

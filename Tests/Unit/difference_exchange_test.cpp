#include "Libraries/zinnialedge/fleet/difference_exchange.h"
#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using namespace zinnialedge;

static model::endpoint const local { "10.0.0.1", 80 };
static model::endpoint const remote { "10.1.0.1", 80 };

TEST_GROUP(DifferenceExchange)
{
    fleet::difference_exchange exchange;
    kernel::time_point const start { 100s };
};

// Load: a configuration of hundreds of KB changes every few seconds in a fleet with several data centres.
// Guards against: each daemon fetches each change from another data centre just before its own watch delivers it.
TEST(DifferenceExchange, ChangeThatItsOwnSourceDeliversIsNotRequested)
{
    exchange.recordDifference(remote, false, true, start);
    CHECK(!exchange.takeDueRequest(start + fleet::ownSourceTime - 1ms));
    exchange.recordOwnChange();
    CHECK(!exchange.dueTime());
    CHECK(!exchange.takeDueRequest(start + 10s));
}

// Guards against: a daemon whose watch is silent never asks, because each further datagram moves the request back.
TEST(DifferenceExchange, LastingDifferenceIsRequestedOnce)
{
    for (auto age = 0ms; age < fleet::ownSourceTime; age += 50ms)
        exchange.recordDifference(remote, false, true, start + age);
    CHECK(exchange.takeDueRequest(start + fleet::ownSourceTime) == remote);
    CHECK(!exchange.takeDueRequest(start + fleet::ownSourceTime));
}

// Guards against: a daemon that the store turns away waits for a source that it does not have.
TEST(DifferenceExchange, DaemonWithoutSourceAsksAtOnce)
{
    exchange.recordDifference(remote, false, true, start);
    exchange.recordDifference(remote, false, false, start + 10ms);
    CHECK(exchange.takeDueRequest(start + 10ms) == remote);
}

// Guards against: bytes between data centres for what a daemon of the own data centre knows as well.
TEST(DifferenceExchange, DaemonOfTheSameDataCentreIsPreferred)
{
    exchange.recordDifference(remote, false, true, start);
    exchange.recordDifference(local, true, true, start + 20ms);
    exchange.recordDifference(remote, false, true, start + 40ms);
    CHECK(exchange.takeDueRequest(start + 1s) == local);
    exchange.recordDifference(remote, false, true, start + 2s);
    CHECK(exchange.takeDueRequest(start + 3s) == remote);
}

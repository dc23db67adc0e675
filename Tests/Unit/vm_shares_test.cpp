#include "Libraries/zinnialedge/limits/memory_budget.h"
#include "Libraries/zinnialedge/limits/vm_shares.h"
#include <CppUTest/TestHarness.h>

using namespace zinnialedge;

TEST_GROUP(VmShares) {};

// Guards against: the ports of a daemon may hold more connections together than the VM has descriptors for sockets, leafs included.
TEST(VmShares, ConnectionsOfAllPortsLeaveRoomForLeafs)
{
    static constexpr std::size_t fileDescriptors = 200;
    for (std::size_t const descriptors : { 700U, 4100U, 10'762U }) {
        auto const shares = limits::shareDescriptors(descriptors);
        auto const sum = shares.callers + shares.relays + shares.directory + shares.readiness + shares.peers + shares.operators;
        CHECK(sum <= (descriptors - fileDescriptors) * 3 / 4);
    }
    CHECK(limits::shareDescriptors(0).callers > 0);
}

TEST(VmShares, BuffersLeaveHalfOfTheMemoryToTheDaemon)
{
    static constexpr std::size_t portsWithOtherShare = 3;
    for (std::size_t const megabytes : { 48U, 160U, 520U }) {
        auto const shares = limits::shareMemory(megabytes);
        CHECK(shares.callerBuffers + shares.openRequests + shares.leafReplies + shares.peers + portsWithOtherShare * shares.otherPort <= (megabytes << 20U) / 2);
    }
}

TEST(VmShares, AChargeIsReplacedAndGivenBack)
{
    auto const budget = std::make_shared<limits::memory_budget>(limits::memory_budget { .limit = 100 });
    {
        limits::memory_charge charge { budget };
        charge.set(120);
        CHECK(charge.isBudgetExceeded());
        charge.set(90);
        CHECK(!charge.isBudgetExceeded());
        CHECK(budget->hasRoom(10));
        CHECK(!budget->hasRoom(11));
    }
    LONGS_EQUAL(0, budget->used);
}

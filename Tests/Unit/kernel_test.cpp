#include "Kernel/service_registry.h"
#include "Kernel/worker_thread.h"
#include "Libraries/zinnialedge/wire/caller_codec.h"
#include "Services/callers/caller_service.h"
#include "Tests/Support/cluster.h"
#include <future>
#include <thread>

// Included after the library headers, because CppUTest defines a macro `new` that breaks them.
#include <CppUTest/TestHarness.h>

using namespace zinnialedge;

TEST_GROUP(Kernel) {};

TEST(Kernel, FullRingRejectsValuesAndKeepsQueuedValues)
{
    unsigned wakeCount = 0;
    kernel::ring<int> ring { 2, [&] { ++wakeCount; } };
    CHECK(ring.push(1));
    CHECK(ring.push(2));
    CHECK_FALSE(ring.push(3));
    LONGS_EQUAL(2, wakeCount);
    std::vector<int> drainedValues;
    LONGS_EQUAL(2, ring.drain([&](int value) { drainedValues.push_back(value); }));
    CHECK((drainedValues == std::vector { 1, 2 }));
    CHECK(ring.push(3));
}

TEST(Kernel, WorkerThreadReceivesAllValuesAcceptedByItsRing)
{
    static constexpr unsigned count = 100'000;
    std::promise<void> done;
    unsigned received = 0;
    kernel::timer_worker_thread workerThread { "test", kernel::makeSteadyClock(), [] { return std::chrono::steady_clock::now() + std::chrono::hours { 1 }; } };
    auto const inbox = workerThread.createInbox<unsigned>(16, [&](unsigned value) {
        VERIFY(value == received);
        if (++received == count)
            done.set_value();
    });
    workerThread.start();
    for (unsigned value = 0; value < count;) {
        if (inbox->push(unsigned { value }))
            ++value;
        else
            std::this_thread::yield();
    }
    done.get_future().wait();
    workerThread.stop();
    LONGS_EQUAL(count, received);
}

TEST(Kernel, RequestIsRejectedAsOverloadedWhenRingOfDecisionServiceIsFull)
{
    services::decisions::decision_settings settings;
    settings.callerInboxCapacity = 2;
    services::decisions::decision_service decisions { settings, kernel::makeSteadyClock(), kernel::makeSeededRandom(1) };
    auto const callers = services::callers::caller_service::create({ { "127.0.0.1", 0 } }, kernel::makeSteadyClock(), decisions);
    CHECK(callers.has_value());
    (*callers)->start();
    model::endpoint const endpoint { "127.0.0.1", (*callers)->port() };
    model::query_request request;
    request.id = "q";
    request.service = "nothing";
    request.requestKind = "search";
    auto const sendQuery = [&] { return std::async(std::launch::async, [&] { return tests::query(endpoint, request); }); };
    // The decision service is not started yet, so the first two requests fill its ring.
    auto first = sendQuery();
    auto second = sendQuery();
    CHECK(tests::waitUntil([&] { return decisions.callerInbox().freeSlotCount() == 0; }));
    auto const rejected = sendQuery().get();
    CHECK(!rejected);
    CHECK(rejected.error().kind == errors::error_kind::overloaded);
    CHECK(rejected.error().retryAfter.has_value());
    decisions.start();
    CHECK(first.get().error().kind == errors::error_kind::unknown_service);
    CHECK(second.get().error().kind == errors::error_kind::unknown_service);
    (*callers)->stop();
    decisions.stop();
}

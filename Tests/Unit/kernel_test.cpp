#include "Kernel/duty.h"
#include "Kernel/registry.h"
#include "Libraries/zinnialedge/wire/caller_codec.h"
#include "Services/callers/caller_service.h"
#include "Tests/Support/cluster.h"
#include <future>
#include <thread>

// After the library headers: it defines a macro new, which they do not expect.
#include <CppUTest/TestHarness.h>

using namespace zinnialedge;

TEST_GROUP(Kernel) {};

TEST(Kernel, AFullRingTakesNothingAndLosesNothing)
{
    unsigned wakes = 0;
    kernel::ring<int> ring { 2, [&] { ++wakes; } };
    CHECK(ring.push(1));
    CHECK(ring.push(2));
    CHECK_FALSE(ring.push(3));
    LONGS_EQUAL(2, wakes);
    std::vector<int> taken;
    LONGS_EQUAL(2, ring.drain([&](int value) { taken.push_back(value); }));
    CHECK((taken == std::vector { 1, 2 }));
    CHECK(ring.push(3));
}

TEST(Kernel, ADutyReceivesEverythingThatItsRingTook)
{
    static constexpr unsigned count = 100'000;
    std::promise<void> done;
    unsigned received = 0;
    kernel::deciding_duty duty { "test", kernel::makeSteadyClock(), [] { return std::chrono::steady_clock::now() + std::chrono::hours { 1 }; } };
    auto const inbox = duty.makeInbox<unsigned>(16, [&](unsigned value) {
        VERIFY(value == received);
        if (++received == count)
            done.set_value();
    });
    duty.start();
    for (unsigned value = 0; value < count;) {
        if (inbox->push(unsigned { value }))
            ++value;
        else
            std::this_thread::yield();
    }
    done.get_future().wait();
    duty.stop();
    LONGS_EQUAL(count, received);
}

TEST(Kernel, ACallerThatFindsTheRingToTheDecisionsFullIsRefusedAsNotRun)
{
    services::decisions::decision_settings settings;
    settings.callerEvents = 2;
    services::decisions::decision_service decisions { settings, kernel::makeSteadyClock(), kernel::makeSeededRandom(1) };
    auto const callers = services::callers::caller_service::create({ { "127.0.0.1", 0 } }, kernel::makeSteadyClock(), decisions);
    CHECK(callers.has_value());
    (*callers)->start();
    model::endpoint const place { "127.0.0.1", (*callers)->port() };
    model::query_request request;
    request.id = "q";
    request.service = "nothing";
    request.requestKind = "search";
    auto const ask = [&] { return std::async(std::launch::async, [&] { return tests::query(place, request); }); };
    // The decisions do not run yet, so the first two fill the ring.
    auto first = ask();
    auto second = ask();
    CHECK(tests::waitUntil([&] { return decisions.callerInbox().freeSlots() == 0; }));
    auto const refused = ask().get();
    CHECK(!refused);
    CHECK(refused.error().kind == errors::error_kind::overloaded);
    CHECK(refused.error().retryAfter.has_value());
    decisions.start();
    CHECK(first.get().error().kind == errors::error_kind::unknown_service);
    CHECK(second.get().error().kind == errors::error_kind::unknown_service);
    (*callers)->stop();
    decisions.stop();
}

// Load: a weak VM, on which the clock advances noticeably between two steps of one turn of the event loop.

#include "Libraries/zinnialedge/fleet/store_roles.h"
#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <memory>

using namespace zinnialedge;
using namespace std::chrono_literals;
using fleet::reader_poll;
using fleet::serving_daemon;
using fleet::store_role;
using fleet::store_roles;
using kernel::time_point;

namespace {

constexpr std::size_t daemonCount = 20;
constexpr fleet::reader_state usableReader { .readsStore = true, .isStoreReached = true, .isReader = true };

/// A subscriber that has found a reader. Its turns are those of the reader link: one check for a due poll, then the timer.
struct polling_subscriber {
    polling_subscriber()
    {
        std::vector<serving_daemon> daemons;
        daemons.reserve(daemonCount);
        for (std::size_t number = 0; number < daemonCount; ++number)
            daemons.push_back({ "d" + std::to_string(number), "dc0", { "10.0.0." + std::to_string(number), 7380 } });
        auto const group = fleet::chooseServingGroup(daemons);
        auto const self = *std::find_if(daemons.begin(), daemons.end(), [&](auto const& each) { return std::find(group.begin(), group.end(), each) == group.end(); });
        roles = std::make_unique<store_roles>(fleet::role_settings { self.name, self.dataCentre, self.place, { group.front().place } }, kernel::makeSeededRandom(1));
        roles->setDaemons(daemons, now);
        roles->start(now);
        runTurn(0ms);
        CHECK(poll.has_value());
        answer();
        CHECK(roles->reader().has_value());
    }

    void answer()
    {
        roles->handleAnswer(poll->place, usableReader, now);
        poll.reset();
    }

    /// `stepTime` passes between the check for a due poll and the setting of the timer.
    void runTurn(std::chrono::milliseconds stepTime)
    {
        roles->advance(now);
        if (!poll)
            poll = roles->takePoll(now);
        now += stepTime;
        timer = roles->nextTime();
    }

    time_point now { 1h };
    std::unique_ptr<store_roles> roles;
    std::optional<reader_poll> poll;
    std::optional<time_point> timer;
};

}

TEST_GROUP(StorePolls) {};

// Guards against: a poll that becomes due between the check and the setting of the timer gets no timer, so that polling stops.
TEST(StorePolls, PollThatBecomesDueDuringATurnIsSent)
{
    for (auto const stepTime : { 0ms, 1ms, 49ms, 50ms, 51ms, 120ms, 1000ms }) {
        polling_subscriber subscriber;
        subscriber.runTurn(stepTime);
        CHECK(!subscriber.poll);
        CHECK(subscriber.timer.has_value());
        subscriber.now = std::max(subscriber.now, *subscriber.timer);
        subscriber.runTurn(0ms);
        CHECK(subscriber.poll.has_value());
        CHECK(subscriber.roles->reader() == subscriber.poll->place);
    }
}

// Guards against: the pause after a poll is not kept, so that a reader that always has news is polled without end.
TEST(StorePolls, TimerAfterAnAnswerIsSetForTheEndOfThePause)
{
    polling_subscriber subscriber;
    auto const answeredAt = subscriber.now;
    subscriber.runTurn(0ms);
    CHECK(subscriber.timer == answeredAt + 50ms);
    subscriber.now = answeredAt + 49ms;
    subscriber.runTurn(0ms);
    CHECK(!subscriber.poll);
}

#include "Libraries/zinnialedge/fleet/object_mirror.h"
#include <CppUTest/TestHarness.h>

using namespace zinnialedge;
using namespace std::chrono_literals;
using fleet::change_page;
using fleet::mirror_request;
using fleet::object_mirror;
using fleet::object_page;
using fleet::store_object;

TEST_GROUP(ObjectMirror)
{
    kernel::time_point now { 1h };
    object_mirror mirror { {}, kernel::makeSeededRandom(5) };

    static store_object object(std::string const& name, std::uint64_t revision) { return { name, revision, revision }; }
    static object_page page(std::vector<store_object> objects, std::uint64_t asOf) { return { std::move(objects), false, asOf }; }
    static change_page removal(std::string const& name, std::uint64_t revision) { return { { { object(name, revision), true } }, revision }; }

    /// Simulates an outage of the store that lasts from a first failure until the next reply.
    void simulateOutage(std::chrono::milliseconds duration)
    {
        mirror.handleFailure(now);
        now += duration;
    }
};

TEST(ObjectMirror, AllPagesAreListedBeforeTheWatch)
{
    CHECK(*mirror.nextRequest(now) == (mirror_request { true, "", 0 }));
    mirror.handlePage({ { object("a", 1), object("b", 2) }, true, 7 }, now);
    CHECK(*mirror.nextRequest(now) == (mirror_request { true, "b", 0 }));
    mirror.handlePage(page({ object("c", 3) }, 9), now);
    // The watch starts at the revision of the first page, because the first page lacks changes after that revision.
    CHECK(*mirror.nextRequest(now) == (mirror_request { false, "", 7 }));
    LONGS_EQUAL(3, mirror.objects().size());
}

TEST(ObjectMirror, RemovalTakesEffectAtOnceWithoutOutage)
{
    mirror.handlePage(page({ object("a", 1), object("b", 2) }, 2), now);
    mirror.handleChanges(removal("a", 3), now);
    CHECK(!mirror.objects().contains("a"));
    LONGS_EQUAL(3, mirror.asOf());
}

TEST(ObjectMirror, ObjectThatExpiredDuringOutageIsRetainedUntilRenewal)
{
    mirror.handlePage(page({ object("a", 1), object("b", 2) }, 2), now);
    simulateOutage(5s);
    mirror.handleHistoryGone({}, now);
    mirror.handlePage(page({ object("b", 2) }, 9), now);
    CHECK(mirror.objects().contains("a"));
    now += 2s;
    mirror.handleChanges({ { { object("a", 10), false } }, 10 }, now);
    now += 1s;
    CHECK(!mirror.performDeferredChanges(now));
    CHECK(mirror.objects().contains("a"));
}

TEST(ObjectMirror, ObjectThatIsNotRenewedAfterOutageIsRemoved)
{
    mirror.handlePage(page({ object("a", 1), object("b", 2) }, 2), now);
    simulateOutage(5s);
    mirror.handleChanges(removal("a", 9), now);
    CHECK(mirror.objects().contains("a"));
    CHECK(mirror.deferredChangeTime().has_value());
    now = *mirror.deferredChangeTime();
    CHECK(mirror.performDeferredChanges(now));
    CHECK(!mirror.objects().contains("a"));
}

TEST(ObjectMirror, ShortOutageDoesNotDeferRemovals)
{
    mirror.handlePage(page({ object("a", 1) }, 2), now);
    simulateOutage(300ms);
    mirror.handleChanges(removal("a", 3), now);
    CHECK(!mirror.objects().contains("a"));
}

// Guards against requests to leafs that have left, because a daemon that was cut off for long finds the store late and then defers the
// removals.
TEST(ObjectMirror, DeferredRemovalsTakeEffectWithinTheStableWindowOfTheStoresReturn)
{
    static constexpr auto stableWindow = 4s;
    // Time limit of a call without a reply.
    for (auto const callTime : { 0ms, 400ms, 1000ms, 1400ms }) {
        for (auto outage = 3000ms; outage < 9000ms; outage += 70ms) {
            object_mirror cutOff { {}, kernel::makeSeededRandom(static_cast<std::uint64_t>(outage.count())) };
            auto time = now;
            cutOff.nextRequest(time);
            cutOff.handlePage(page({ object("a", 1), object("b", 2) }, 2), time);
            auto const returnsAt = time + outage;
            // A call is answered if it is sent after the return.
            while (time < returnsAt) {
                if (cutOff.nextRequest(time)) {
                    time += callTime;
                    cutOff.handleFailure(time);
                }
                time = std::max(time, cutOff.nextRequestTime());
            }
            CHECK(cutOff.nextRequest(time).has_value());
            cutOff.handleChanges(removal("a", 3), time);
            auto const removedAt = cutOff.deferredChangeTime().value_or(time);
            cutOff.performDeferredChanges(removedAt);
            CHECK(!cutOff.objects().contains("a"));
            CHECK(removedAt < returnsAt + stableWindow);
        }
    }
}

TEST(ObjectMirror, DroppedHistoryCausesNewListing)
{
    mirror.handlePage(page({ object("a", 1), object("b", 2) }, 2), now);
    mirror.handleHistoryGone({}, now);
    CHECK(mirror.nextRequest(now)->isListing);
    mirror.handlePage(page({ object("b", 5) }, 9), now);
    CHECK(!mirror.objects().contains("a"));
    LONGS_EQUAL(5, mirror.objects().at("b").revision);
}

TEST(ObjectMirror, OlderRevisionDoesNotReplaceNewerRevision)
{
    mirror.handlePage(page({ object("a", 8) }, 8), now);
    mirror.handleChanges({ { { object("a", 6), false } }, 8 }, now);
    LONGS_EQUAL(8, mirror.objects().at("a").revision);
    CHECK(!mirror.adopt({ object("a", 7) }, { 0, 7 }, now));
    LONGS_EQUAL(8, mirror.objects().at("a").revision);
}

TEST(ObjectMirror, RetriesStayFrequentUntilFirstListing)
{
    // All daemons restarted while the store was down: no caller is served until a daemon can read the store.
    for (int count = 0; count < 20; ++count) {
        mirror.handleFailure(now);
        CHECK(mirror.nextRequestTime() <= now + 300ms);
        now = mirror.nextRequestTime();
    }
    mirror.handlePage(page({ object("a", 1) }, 2), now);
    for (int count = 0; count < 20; ++count)
        mirror.handleFailure(now);
    CHECK(mirror.nextRequestTime() > now + 500ms);
}

TEST(ObjectMirror, RelistedObjectsAreReadStaleAndNeverWatched)
{
    object_mirror relistedMirror { { .renewalPeriod = 0ms, .relistInterval = 10s }, kernel::makeSeededRandom(5) };
    CHECK(relistedMirror.nextRequest(now) == (mirror_request { true, "", 0, false }));
    relistedMirror.handlePage(page({ object("a", 3), object("b", 4) }, 7), now);
    LONGS_EQUAL(2, relistedMirror.objects().size());
    CHECK(!relistedMirror.nextRequest(now + 4s));
    CHECK(relistedMirror.nextRequest(now + 16s) == (mirror_request { true, "", 7, true }));
    // A page with an older revision must not lower the mirror's revision.
    relistedMirror.handlePage(page({ object("b", 4) }, 6), now + 16s);
    LONGS_EQUAL(1, relistedMirror.objects().size());
    LONGS_EQUAL(7, relistedMirror.asOf());
}

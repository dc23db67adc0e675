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

    /// From the first failure until the next answer, which a watch gives.
    void loseStoreFor(std::chrono::milliseconds span)
    {
        mirror.handleFailure(now);
        now += span;
    }
};

TEST(ObjectMirror, PagesAreListedToTheEndAndThenWatched)
{
    CHECK(*mirror.nextRequest(now) == (mirror_request { true, "", 0 }));
    mirror.handlePage({ { object("a", 1), object("b", 2) }, true, 7 }, now);
    CHECK(*mirror.nextRequest(now) == (mirror_request { true, "b", 0 }));
    mirror.handlePage(page({ object("c", 3) }, 9), now);
    // The first page shows what was there before the second one was asked for.
    CHECK(*mirror.nextRequest(now) == (mirror_request { false, "", 7 }));
    LONGS_EQUAL(3, mirror.objects().size());
}

TEST(ObjectMirror, ARemovalCountsAtOnceWhileTheStoreIsSound)
{
    mirror.handlePage(page({ object("a", 1), object("b", 2) }, 2), now);
    mirror.handleChanges(removal("a", 3), now);
    CHECK(!mirror.objects().contains("a"));
    LONGS_EQUAL(3, mirror.asOf());
}

TEST(ObjectMirror, WhatLapsedDuringAnOutageIsKeptUntilItMayBeBack)
{
    mirror.handlePage(page({ object("a", 1), object("b", 2) }, 2), now);
    loseStoreFor(5s);
    mirror.handleHistoryGone(now);
    mirror.handlePage(page({ object("b", 2) }, 9), now);
    CHECK(mirror.objects().contains("a"));
    now += 2s;
    mirror.handleChanges({ { { object("a", 10), false } }, 10 }, now);
    now += 1s;
    CHECK(!mirror.endOutage(now));
    CHECK(mirror.objects().contains("a"));
}

TEST(ObjectMirror, WhatIsNotBackAfterAnOutageIsGone)
{
    mirror.handlePage(page({ object("a", 1), object("b", 2) }, 2), now);
    loseStoreFor(5s);
    mirror.handleChanges(removal("a", 9), now);
    CHECK(mirror.objects().contains("a"));
    CHECK(mirror.outageEnd().has_value());
    now = *mirror.outageEnd();
    CHECK(mirror.endOutage(now));
    CHECK(!mirror.objects().contains("a"));
}

TEST(ObjectMirror, AShortLossOfTheConnectionLetsNothingLapse)
{
    mirror.handlePage(page({ object("a", 1) }, 2), now);
    loseStoreFor(300ms);
    mirror.handleChanges(removal("a", 3), now);
    CHECK(!mirror.objects().contains("a"));
}

TEST(ObjectMirror, DroppedHistoryIsListedAgainAndCompared)
{
    mirror.handlePage(page({ object("a", 1), object("b", 2) }, 2), now);
    mirror.handleHistoryGone(now);
    CHECK(mirror.nextRequest(now)->isList);
    mirror.handlePage(page({ object("b", 5) }, 9), now);
    CHECK(!mirror.objects().contains("a"));
    LONGS_EQUAL(5, mirror.objects().at("b").revision);
}

TEST(ObjectMirror, AnOlderRevisionNeverReplacesANewerOne)
{
    mirror.handlePage(page({ object("a", 8) }, 8), now);
    mirror.handleChanges({ { { object("a", 6), false } }, 8 }, now);
    LONGS_EQUAL(8, mirror.objects().at("a").revision);
    CHECK(!mirror.adopt({ object("a", 7) }, 7));
    LONGS_EQUAL(8, mirror.objects().at("a").revision);
}

TEST(ObjectMirror, ADaemonThatKnowsNothingAsksAgainSoon)
{
    // All daemons were stopped while the store was down; nobody is served until one of them can read.
    for (int count = 0; count < 20; ++count) {
        mirror.handleFailure(now);
        CHECK(mirror.nextTime() <= now + 300ms);
        now = mirror.nextTime();
    }
    mirror.handlePage(page({ object("a", 1) }, 2), now);
    for (int count = 0; count < 20; ++count)
        mirror.handleFailure(now);
    CHECK(mirror.nextTime() > now + 500ms);
}

TEST(ObjectMirror, WhatIsNeededRarelyIsListedAgainAtALowerPriceAndNeverWatched)
{
    object_mirror rare { { .returnWait = 0ms, .relistInterval = 10s }, kernel::makeSeededRandom(5) };
    CHECK(rare.nextRequest(now) == (mirror_request { true, "", 0, false }));
    rare.handlePage(page({ object("a", 3), object("b", 4) }, 7), now);
    LONGS_EQUAL(2, rare.objects().size());
    CHECK(!rare.nextRequest(now + 4s));
    CHECK(rare.nextRequest(now + 16s) == (mirror_request { true, "", 7, true }));
    // Data that is older than what was read is no step back of the revision.
    rare.handlePage(page({ object("b", 4) }, 6), now + 16s);
    LONGS_EQUAL(1, rare.objects().size());
    LONGS_EQUAL(7, rare.asOf());
}

// What a daemon knows of evacuations when the store is away, late or comes back from an older copy, and what other daemons tell it.

#include "Libraries/zinnialedge/fleet/evacuations.h"
#include "Services/fleet/snapshot_codec.h"
#include <CppUTest/TestHarness.h>
#include <boost/json.hpp>

using namespace zinnialedge;
using namespace std::chrono_literals;
using fleet::digestOf;
using fleet::object_page;
using fleet::store_object;
using fleet::store_position;
using services::fleet::formatSnapshot;
using services::fleet::parseSnapshot;

TEST_GROUP(EvacuationStore)
{
    kernel::time_point now { 1h };
    fleet::object_mirror mirror { fleet::evacuationMirrorSettings(), kernel::makeSeededRandom(5) };

    static store_object make(std::string const& name, std::uint64_t revision, std::uint64_t era = 0) { return { name, revision, nullptr, 0, era }; }

    void list(std::vector<store_object> objects, std::uint64_t asOf, std::uint64_t era = 3) { mirror.handlePage({ std::move(objects), false, asOf, era }, now); }

    void change(store_object const& object, bool isRemoved, std::uint64_t asOf, std::uint64_t era = 3) { mirror.handleChanges({ { { object, isRemoved } }, asOf, era }, now); }

    bool isEvacuated(std::string const& name) const { return mirror.objects().contains(name); }
};

// Guards against: a daemon without the store learns neither the begin nor the end of an evacuation, or can't pass it on.
TEST(EvacuationStore, LaterStateOfAnotherDaemonReplacesTheOwn)
{
    list({ make("a", 5) }, 9);
    mirror.handleFailure(now);
    CHECK(mirror.adopt({ make("b", 12, 3) }, { 3, 12 }, now));
    CHECK(!isEvacuated("a") && isEvacuated("b"));
    CHECK(mirror.position() == (store_position { 3, 12 }));
    CHECK_FALSE(mirror.adopt({}, { 3, 11 }, now));
    CHECK_FALSE(mirror.adopt({}, { 2, 20 }, now));
    CHECK(isEvacuated("b"));
}

// Guards against: a listing or a watch that began before another daemon told more undoes what it told.
TEST(EvacuationStore, RepliesOfTheStoreThatAreOlderDoNotUndoWhatAnotherDaemonTold)
{
    mirror.adopt({ make("b", 12, 3) }, { 3, 12 }, now);
    list({ make("a", 5) }, 9);
    CHECK(isEvacuated("b"));
    // The listing brings back what ended at revision 11, so the watch begins before that.
    LONGS_EQUAL(9, mirror.nextRequest(now)->revision);
    change(make("a", 11), true, 12);
    CHECK_FALSE(isEvacuated("a"));
    mirror.adopt({ make("b", 20, 3) }, { 3, 20 }, now);
    change(make("b", 18), true, 18);
    CHECK(isEvacuated("b"));
    CHECK(mirror.nextRequest(now)->isListing);
}

// Guards against: an evacuation that its writer ends soon after a return of the store stays in force for ten seconds more.
TEST(EvacuationStore, EvacuationThatTheReturnedStoreHasShownEndsAtOnce)
{
    list({ make("a", 5), make("b", 6) }, 9);
    mirror.enterEra(4, now);
    now += 300ms;
    list({ make("a", 2) }, 3, 4);
    now += 1s;
    change(make("a", 4), true, 4, 4);
    CHECK(!isEvacuated("a") && isEvacuated("b"));
}

// Guards against: an evacuation is forgotten because the store has come back from a copy that lacks it.
TEST(EvacuationStore, EvacuationThatTheCopyLacksStaysInForceUntilItIsWrittenAgain)
{
    list({ make("a", 5), make("b", 6) }, 9);
    mirror.enterEra(4, now);
    now += 300ms;
    list({}, 3, 4);
    now += 9s;
    mirror.performDeferredChanges(now);
    CHECK(isEvacuated("a") && isEvacuated("b"));
    change(make("a", 4), false, 4, 4);
    now += 1s;
    mirror.performDeferredChanges(now);
    CHECK(isEvacuated("a") && !isEvacuated("b"));
}

// Guards against: an evacuation that has ended takes effect again because the store's copy has it, or a new one does not in time.
TEST(EvacuationStore, EndedEvacuationInTheCopyIsIgnoredForATimeUnlessItIsWrittenAgain)
{
    list({ make("a", 1), make("b", 2) }, 2);
    change(make("a", 5), true, 5);
    change(make("b", 6), true, 6);
    mirror.enterEra(4, now);
    now += 300ms;
    list({ make("a", 1), make("b", 2) }, 2, 4);
    CHECK(!isEvacuated("a") && !isEvacuated("b"));
    change(make("b", 3), false, 3, 4);
    CHECK(isEvacuated("b"));
    now += 2500ms;
    mirror.performDeferredChanges(now);
    CHECK(isEvacuated("a"));
}

// Guards against: an evacuation outlasts its removal because the store was away.
TEST(EvacuationStore, EvacuationThatEndedDuringAnOutageEndsWithIt)
{
    list({ make("a", 5) }, 9);
    mirror.handleFailure(now);
    now += 1min;
    CHECK(isEvacuated("a"));
    change(make("a", 10), true, 10);
    CHECK_FALSE(isEvacuated("a"));
}

// Guards against: daemons that know different evacuations do not notice, or those without evacuations differ from older daemons.
TEST(EvacuationStore, DigestCoversEvacuations)
{
    LONGS_EQUAL(7, digestOf(7, {}));
    CHECK(digestOf(7, { "a" }) != digestOf(7, { "b" }));
    CHECK(digestOf(7, { "a" }) != digestOf(8, { "a" }));
}

// Guards against: a snapshot of an older daemon, or a malformed part, keeps a daemon from the configuration and the leafs.
TEST(EvacuationStore, EvacuationsAreAnOptionalPartOfSnapshots)
{
    auto const formatted = formatSnapshot({ { { 3, 9 }, {} }, { { 3, 8 }, {} }, { { { 3, 12 }, { { "a", make("a", 12, 3) } } } } });
    auto const parsed = parseSnapshot(formatted);
    CHECK(parsed && parsed->evacuations);
    CHECK(parsed->evacuations->position == (store_position { 3, 12 }));
    CHECK(parsed->evacuations->objects.contains("a"));
    auto const older = parseSnapshot(formatSnapshot({ { { 3, 9 }, {} }, { { 3, 8 }, {} } }));
    CHECK(older && !older->evacuations);
    auto malformed = boost::json::parse(formatted);
    malformed.as_object()["evacuations"] = "nothing";
    auto const usable = parseSnapshot(boost::json::serialize(malformed));
    CHECK(usable && !usable->evacuations);
    LONGS_EQUAL(8, usable->leafs.position.revision);
}

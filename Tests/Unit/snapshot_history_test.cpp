#include "Libraries/zinnialedge/fleet/object_mirror.h"
#include "Libraries/zinnialedge/fleet/snapshot_history.h"
#include "Services/fleet/poll_codec.h"
#include <CppUTest/TestHarness.h>

using namespace zinnialedge;
using namespace std::chrono_literals;
using fleet::object_mirror;
using fleet::selectParts;
using fleet::snapshot_history;
using fleet::snapshot_poll;
using fleet::snapshot_state;
using fleet::store_object;
using fleet::store_position;
using object_map = std::map<std::string, store_object>;

TEST_GROUP(SnapshotHistory)
{
    kernel::time_point now { 1h };
    snapshot_history history;
    object_mirror mirror { {}, kernel::makeSeededRandom(5) };

    static store_object object(std::string const& name, std::uint64_t revision, std::uint64_t era = 1) { return { name, revision, revision, 0, era }; }

    static object_map objects(std::vector<store_object> const& list)
    {
        object_map map;
        for (auto const& each : list)
            map[each.name] = each;
        return map;
    }

    /// A reader with leafs at a position, and a subscriber that knows a position.
    snapshot_state state { .incarnation = 7, .configurationVersion = 3, .storeEra = 2, .readsStore = true, .isStoreReached = true, .parts = { { "leafs", { { 2, 10 }, 5 } } } };
    snapshot_poll poll { .holdTime = 1s, .origin = 7, .configurationVersion = 3, .storeEra = 2, .isStoreReached = true, .parts = { { "leafs", { { 2, 10 }, 5 } } } };
};

// Guards against: subscribers miss a change or a removal, or get all leafs for each change.
TEST(SnapshotHistory, OnlyChangesSinceAGenerationAreReturned)
{
    auto const first = objects({ object("a", 1), object("b", 2), object("c", 3) });
    history.update(first);
    auto const generation = history.generation();
    history.update(first);
    LONGS_EQUAL(generation, history.generation());
    auto const second = objects({ object("a", 1), object("b", 5), object("d", 6) });
    history.update(second);
    auto const changes = history.changesSince(generation, second);
    CHECK(!changes.isComplete);
    LONGS_EQUAL(2, changes.objects.size());
    CHECK(changes.objects.contains("b") && changes.objects.contains("d"));
    CHECK(changes.removed == std::vector<std::string> { "c" });
    // An object that comes back is no longer removed.
    auto const third = objects({ object("a", 1), object("b", 5), object("c", 9), object("d", 6) });
    history.update(third);
    CHECK(history.changesSince(generation, third).removed.empty());
    LONGS_EQUAL(3, history.changesSince(generation, third).objects.size());
    CHECK(history.changesSince(history.generation(), third).objects.empty());
    CHECK(history.changesSince(0, third).isComplete);
    CHECK(history.changesSince(history.generation() + 1, third).isComplete);
}

// Guards against: removed leafs fill the memory of the daemon, and a subscriber that has missed removals keeps them for good.
TEST(SnapshotHistory, ForgottenRemovalsLeadToACompleteList)
{
    history.update(objects({ object("keep", 1) }));
    auto const generation = history.generation();
    object_map many = objects({ object("keep", 1) });
    for (std::uint64_t index = 0; index < 5000; ++index)
        many["x" + std::to_string(index)] = object("x" + std::to_string(index), 10 + index);
    history.update(many);
    auto const left = objects({ object("keep", 1) });
    history.update(left);
    CHECK(history.changesSince(generation, left).isComplete);
    CHECK(!history.changesSince(history.generation(), left).isComplete);
}

// Guards against: a poll is answered without news, or is held although there is news.
TEST(SnapshotHistory, PollIsDueWhenThereIsNews)
{
    CHECK(!selectParts(poll, state).isDue);
    auto const isDueWith = [this](auto const& change) {
        auto changed = state;
        change(changed);
        return selectParts(poll, changed).isDue;
    };
    CHECK(isDueWith([](auto& each) { each.configurationVersion = 4; }));
    CHECK(isDueWith([](auto& each) { each.parts["leafs"].generation = 6; }));
    CHECK(isDueWith([](auto& each) { each.isStoreReached = false; }));
    CHECK(isDueWith([](auto& each) { each.readsStore = false; }));
    CHECK(isDueWith([](auto& each) { each.storeEra = 3; }));
    // A reader that lags behind what the subscriber knows, and a reader without any leafs, have no news.
    CHECK(!isDueWith([](auto& each) { each.configurationVersion = 2; }));
    CHECK(!isDueWith([](auto& each) { each.parts["leafs"].position.revision = 11; }));
    state.parts["leafs"] = { { 2, 10 }, 1 };
    poll.parts["leafs"] = { { 2, 10 }, 1 };
    CHECK(!selectParts(poll, state).isDue);
}

// Guards against: a subscriber that changes its reader goes back to older leafs, or merges the changes of one reader into the state of
// another, which may have deferred other removals.
TEST(SnapshotHistory, AnotherReaderSendsACompleteListThatIsNotOlder)
{
    poll.origin = 8;
    auto const selection = selectParts(poll, state);
    CHECK(selection.parts.contains("leafs") && !selection.parts.at("leafs"));
    // Revisions of an earlier era are not newer, however great they are.
    for (auto const position : { store_position { 2, 9 }, store_position { 1, 500 } }) {
        state.parts["leafs"].position = position;
        CHECK(!selectParts(poll, state).parts.contains("leafs"));
    }
    // A daemon that is no reader sends only what is newer.
    state.readsStore = false;
    state.parts["leafs"].position = { 2, 10 };
    CHECK(!selectParts(poll, state).parts.contains("leafs"));
    state.parts["leafs"].position = { 2, 11 };
    CHECK(selectParts(poll, state).parts.contains("leafs"));
}

// Guards against: a subscriber that becomes a reader misses what its reader had deferred, or lists everything without need.
TEST(SnapshotHistory, MirrorContinuesFromTheStateOfAReader)
{
    CHECK(mirror.replicate(objects({ object("a", 1), object("b", 2) }), {}, true, { 1, 7 }, true, now));
    CHECK(mirror.replicate(objects({ object("b", 9) }), { "a" }, false, { 1, 9 }, true, now));
    CHECK(!mirror.objects().contains("a"));
    LONGS_EQUAL(9, mirror.objects().at("b").revision);
    CHECK(!mirror.replicate(objects({ object("a", 1) }), {}, true, { 1, 8 }, true, now));
    mirror.resume(false, now);
    CHECK(*mirror.nextRequest(now) == (fleet::mirror_request { false, "", 9 }));
    CHECK(mirror.replicate({}, {}, false, { 1, 10 }, false, now));
    mirror.resume(false, now);
    CHECK(mirror.nextRequest(now)->isListing);
}

// Guards against: after an outage that this daemon has not seen itself, it removes leafs that had no chance to renew their entries.
TEST(SnapshotHistory, RemovalsAreDeferredAfterAnOutageThatReadersHaveSeen)
{
    mirror.replicate(objects({ object("a", 1), object("b", 2) }), {}, true, { 1, 7 }, true, now);
    mirror.resume(true, now);
    mirror.handleChanges({ { { object("a", 8), true } }, 8, 1 }, now);
    CHECK(mirror.objects().contains("a"));
    CHECK(!mirror.isSettled());
    // A suspended mirror does not keep what it has deferred: it lists when it continues without a reader's state.
    mirror.suspend();
    mirror.resume(false, now);
    CHECK(mirror.nextRequest(now)->isListing);
    // The state of a reader in a later era replaces everything.
    mirror.suspend();
    CHECK(mirror.replicate(objects({ object("c", 3, 2) }), {}, true, { 2, 3 }, true, now));
    LONGS_EQUAL(1, mirror.objects().size());
    CHECK(mirror.isSettled());
    LONGS_EQUAL(2, mirror.era());
}

// Guards against: what a reader sends while it lists a later era is lost, or is taken for a position in that era.
TEST(SnapshotHistory, ChangesBetweenTwoErasAreKept)
{
    CHECK(mirror.replicate(objects({ object("a", 5), object("b", 6) }), {}, true, { 1, 7 }, true, now));
    mirror.enterEra(2, now);
    CHECK(mirror.replicate(objects({ object("a", 3, 2) }), {}, false, { 1, 7 }, true, now));
    LONGS_EQUAL(2, mirror.objects().at("a").era);
    mirror.resume(false, now);
    CHECK(mirror.nextRequest(now)->isListing);
    CHECK(mirror.replicate({}, { "b" }, false, { 2, 4 }, true, now));
    LONGS_EQUAL(1, mirror.objects().size());
    CHECK(*mirror.nextRequest(now) == (fleet::mirror_request { false, "", 4 }));
}

// Guards against: messages of subscribers and readers that differ in what they mean, or that end the daemon.
TEST(SnapshotHistory, PollsAndAnswersAreReadAsWritten)
{
    using namespace services::fleet;
    CHECK(parsePoll({ .target = formatPoll(poll) }) == poll);
    CHECK(!parsePoll({ .target = snapshotPath }));
    CHECK(parsePoll({ .target = std::string { snapshotPath } + "?wait_ms=999999999&part_leafs=1.x..&version=-1" })->holdTime == fleet::pollHoldTime);
    poll_answer answer { .incarnation = 7, .storeEra = 2, .state = { true, true, true } };
    answer.routes = object_snapshot { { 2, 4 }, objects({ object("main", 4, 2) }) };
    answer.parts["leafs"] = { { { 2, 10 }, 5 }, { false, objects({ object("a", 9, 2) }), { "b" } }, false };
    auto const parsed = parseAnswer(formatAnswer(answer));
    CHECK(parsed.has_value());
    CHECK(parsed->state == answer.state);
    LONGS_EQUAL(7, parsed->incarnation);
    CHECK(parsed->routes->objects.at("main").position() == (store_position { 2, 4 }));
    auto const& leafs = parsed->parts.at("leafs");
    CHECK(leafs.position == answer.parts["leafs"].position);
    CHECK(!leafs.changes.isComplete && !leafs.isSettled);
    CHECK(leafs.changes.removed == std::vector<std::string> { "b" });
    LONGS_EQUAL(9, leafs.changes.objects.at("a").revision);
    // A complete snapshot is the answer of an earlier version.
    CHECK(!parseAnswer(formatSnapshot({}))->state.holdsPolls);
    CHECK(!parseAnswer("{\"reader\":{}}"));
    CHECK(!parseAnswer("nonsense"));
}

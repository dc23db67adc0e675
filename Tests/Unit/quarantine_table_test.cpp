#include "Libraries/zinnialedge/quarantine/quarantine_table.h"
#include "Libraries/zinnialedge/quarantine/suspect_notice.h"
#include <CppUTest/TestHarness.h>

using namespace zinnialedge::quarantine;
using namespace std::chrono_literals;
using zinnialedge::kernel::time_point;

TEST_GROUP(QuarantineTable)
{
    quarantine_table table { 1 };
    time_point now { 10h };
    request_digest const poison = computeDigest({ "poison" });

    static request_digest numbered(std::size_t number)
    {
        return computeDigest({ "request", std::to_string(number) });
    }

    /// Loses a leaf under the request, whose call was sent 10 ms ago.
    void lose(request_digest const& request, std::uint64_t leaf)
    {
        table.recordLoss({ request }, { leaf, now - 10ms, now }, now);
    }

    void tryAgain(bool isUnanswered = false)
    {
        request_evidence evidence { [this] { return request_digests { poison }; } };
        table.recordCall(evidence, now);
        CHECK(table.judge(evidence, now) == verdict::trial);
        if (isUnanswered)
            table.recordUnansweredCall(evidence, now);
    }

    /// Loses leafs under the request one after the other.
    void quarantine(request_digest const& request)
    {
        for (std::uint64_t leaf = 1; leaf <= 3; ++leaf) {
            now += 1s;
            lose(request, leaf);
        }
    }
};

TEST(QuarantineTable, ThreeLossesOfDifferentLeafsQuarantineARequest)
{
    CHECK(table.judge({ poison }, now) == verdict::innocent);
    lose(poison, 1);
    lose(poison, 1);
    lose(poison, 1);
    CHECK(table.judge({ poison }, now) == verdict::suspected);
    now += 1s;
    lose(poison, 2);
    now += 1s;
    lose(poison, 3);
    CHECK(table.judge({ poison }, now) == verdict::quarantined);
    CHECK(table.judge({ numbered(1) }, now) == verdict::innocent);
}

TEST(QuarantineTable, SuccessClearsARequestAtOnce)
{
    quarantine(poison);
    now += 5s;
    CHECK(table.recordSuccess({ poison }, now));
    CHECK(table.judge({ poison }, now) == verdict::innocent);
    CHECK_FALSE(table.recordSuccess({ poison }, now));
}

TEST(QuarantineTable, TrialsBecomeRareAndOneLossEndsEach)
{
    quarantine(poison);
    std::size_t trials = 0;
    for (auto const end = now + 10min; now < end; now += 100ms) {
        if (table.judge({ poison }, now) != verdict::trial)
            continue;
        tryAgain();
        CHECK(table.judge({ poison }, now) == verdict::quarantined);
        now += 50ms;
        lose(poison, 100 + trials++);
    }
    CHECK(trials >= 1 && trials <= 3);
}

// Guards against trials that go on at a short interval because their outcome is not seen, by a link that is cut for example.
TEST(QuarantineTable, TrialsWithoutAnOutcomeBecomeRareToo)
{
    quarantine(poison);
    std::size_t trials = 0;
    for (auto const end = now + 5min; now < end; now += 100ms) {
        if (table.judge({ poison }, now) != verdict::trial)
            continue;
        ++trials;
        tryAgain(true);
    }
    CHECK(trials >= 3 && trials <= 5);
}

// Guards against a request that is turned away for long because an outage took several of its leafs at one moment.
TEST(QuarantineTable, LeafsLostTogetherCallForATrialAtOnce)
{
    for (std::uint64_t leaf = 1; leaf <= 5; ++leaf)
        lose(poison, leaf);
    CHECK(table.judge({ poison }, now) == verdict::trial);
    tryAgain();
    CHECK(table.judge({ poison }, now + 1s) == verdict::quarantined);
    now += 20ms;
    lose(poison, 6);
    CHECK(table.judge({ poison }, now + 1s) == verdict::quarantined);
    CHECK(table.judge({ poison }, now + 4s) == verdict::trial);
}

TEST(QuarantineTable, FloodOfOtherRequestsDrivesOutNeitherQuarantinedNorTwiceSeenOnes)
{
    quarantine(poison);
    auto const twice = numbered(100'000);
    lose(twice, 1);
    lose(twice, 2);
    for (std::size_t number = 0; number < 10'000; ++number)
        lose(numbered(number), number);
    LONGS_EQUAL(quarantine_table::capacity, table.size());
    CHECK(table.judge({ poison }, now) == verdict::quarantined);
    LONGS_EQUAL(2, table.find(twice)->losses.size());
    LONGS_EQUAL(1, table.quarantinedCount());
}

TEST(QuarantineTable, EntriesEnd)
{
    quarantine(poison);
    lose(numbered(1), 1);
    now += 30min;
    table.removeExpired(now);
    CHECK(table.find(poison) && !table.find(numbered(1)));
    now += 1h;
    table.removeExpired(now);
    CHECK(table.isEmpty());
}

// Guards against daemons that each see fewer losses than would quarantine a request, and against losses that are counted twice.
TEST(QuarantineTable, LossesOfSeveralDaemonsCountTogether)
{
    std::vector<quarantine_table> daemons { quarantine_table { 1 }, quarantine_table { 2 }, quarantine_table { 3 } };
    for (std::uint64_t index = 0; index < 3; ++index)
        daemons[index].recordLoss({ poison }, { index, now, now + 10ms }, now + 10ms);
    now += 500ms;
    for (auto const& from : daemons) {
        for (int repetition = 0; repetition < 2; ++repetition) {
            // The receiver's clock runs two hours late.
            auto const told = readNotice(makeNotice(*from.find(poison), now), now - 2h);
            auto const quarantined = table.merge(std::vector { told }, now - 2h);
            LONGS_EQUAL(&from == &daemons[2] && repetition == 0 ? 1 : 0, quarantined.size());
        }
    }
    LONGS_EQUAL(3, table.find(poison)->losses.size());
    CHECK(table.find(poison)->losses.front().lostAt >= now - 2h - 500ms);
}

// Guards against losses that came together and look as if they had come one after the other once another daemon has told of them.
TEST(QuarantineTable, LossesThatCameTogetherAreToldAsSuch)
{
    for (std::uint64_t leaf = 1; leaf <= 6; ++leaf)
        table.recordLoss({ poison }, { leaf, now + leaf * 10us, now + 300us + leaf * 20us }, now + 1ms);
    LONGS_EQUAL(1, consecutiveLossCount(*table.find(poison)));
    auto const told = readNotice(makeNotice(*table.find(poison), now + 77ms), now + 80ms);
    LONGS_EQUAL(1, consecutiveLossCount(told));
}

TEST(QuarantineTable, OldNewsDoesNotBringLossesBack)
{
    quarantine(poison);
    auto const old = *table.find(poison);
    now += 3s;
    table.recordSuccess({ poison }, now);
    CHECK(table.merge(std::vector { old }, now).empty());
    CHECK(table.judge({ poison }, now) == verdict::innocent);
    quarantine_table other { 2 };
    other.merge(std::vector { old }, now);
    other.merge(std::vector { *table.find(poison) }, now);
    CHECK(other.judge({ poison }, now) == verdict::innocent);
}

// Guards against requests that come often and are turned away after an outage that took many of their leafs.
TEST(QuarantineTable, LossesSoonAfterASuccessDoNotCount)
{
    table.recordSuccess({ poison }, now);
    quarantine(poison);
    CHECK(table.judge({ poison }, now) == verdict::innocent);
    quarantine_table other { 2 };
    for (std::uint64_t leaf = 1; leaf <= 3; ++leaf)
        other.recordLoss({ poison }, { leaf, now - 10ms, now }, now);
    table.merge(std::vector { *other.find(poison) }, now + 20ms);
    other.merge(table.suspectsToShare(now + 30ms), now + 40ms);
    CHECK(other.judge({ poison }, now + 40ms) == verdict::innocent);
    // A request that has begun to end leafs is found out when its last success is some time ago.
    now += 1min;
    quarantine(poison);
    CHECK(table.judge({ poison }, now) == verdict::quarantined);
}

TEST(QuarantineTable, FloodOfSuccessesKeepsTheLatest)
{
    recent_digests recent;
    for (std::size_t number = 0; number < 100'000; ++number)
        recent.add(numbered(number), now);
    CHECK(recent.contains(numbered(99'999), now + 14s));
    CHECK_FALSE(recent.contains(numbered(1), now));
    CHECK_FALSE(recent.contains(numbered(99'999), now + 31s));
}

TEST(QuarantineTable, MalformedNoticesStayWithinTheBounds)
{
    suspect_notice notice { .request = poison };
    for (std::uint64_t leaf = 0; leaf < 1000; ++leaf)
        notice.losses.push_back({ leaf, std::chrono::microseconds::min(), std::chrono::microseconds::max() });
    notice.clearedAge = std::chrono::microseconds { -5 };
    auto const read = readNotice(notice, now);
    CHECK(read.losses.size() <= maximumLossCount);
    CHECK(read.losses.front().sentAt <= read.losses.front().lostAt && read.losses.front().lostAt >= now - 24h);
    CHECK(read.clearedAt == now);
    CHECK_FALSE(digestFromBytes("short").has_value());
    LONGS_EQUAL(32, toString(poison).size());
    CHECK(computeDigest({ "ab", "c" }) != computeDigest({ "a", "bc" }));
}

// Guards against: a reply from before a loss, or one of the leaf's next run, refutes the loss.
TEST(QuarantineTable, OnlyReplyToALaterCallSoonAfterTheLossRefutesIt)
{
    lose(poison, 7);
    table.refuteLossesBefore(7, now - 1ms, now + 5ms);
    table.refuteLossesBefore(8, now + 1ms, now + 5ms);
    table.refuteLossesBefore(7, now + 2s, now + 2s);
    LONGS_EQUAL(1, lossCount(*table.find(poison)));
    table.refuteLossesBefore(7, now + 1ms, now + 5ms);
    LONGS_EQUAL(0, lossCount(*table.find(poison)));
}

// Guards against: an innocent request stays under quarantine because the links to its leafs were cut for longer than a second.
TEST(QuarantineTable, LeafThatGoesOnReplyingRefutesAnOldLoss)
{
    lose(poison, 7);
    auto const lostAt = now;
    for (auto const after : { 2s, 3s, 4s, 5s, 6s }) {
        table.refuteLossesBefore(7, lostAt + after, lostAt + after);
        LONGS_EQUAL(1, lossCount(*table.find(poison)));
    }
    table.refuteLossesBefore(7, lostAt + 7s, lostAt + 7s);
    LONGS_EQUAL(0, lossCount(*table.find(poison)));
}

// Guards against: a leaf that has ended under the request, and has started again under its id while the store is away, counts as one that
// has not ended, so that the request may end more leafs than allowed.
TEST(QuarantineTable, RepliesRefuteNoOldLossWhileRegistrationsAreNotDelivered)
{
    lose(poison, 7);
    auto const lostAt = now;
    table.refuteLossesBefore(7, lostAt + 2s, lostAt + 2s);
    table.setRegistrationsCurrent(false);
    for (auto const after : { 4s, 8s, 12s })
        table.refuteLossesBefore(7, lostAt + after, lostAt + after);
    LONGS_EQUAL(1, lossCount(*table.find(poison)));
    table.setRegistrationsCurrent(true);
    table.refuteLossesBefore(7, lostAt + 13s, lostAt + 13s);
    LONGS_EQUAL(1, lossCount(*table.find(poison)));
    table.refuteLossesBefore(7, lostAt + 13s + lateRefutationTime, lostAt + 13s + lateRefutationTime);
    LONGS_EQUAL(0, lossCount(*table.find(poison)));
}

// Guards against: trials that fell into a fault keep an innocent request under quarantine for a minute after the fault.
TEST(QuarantineTable, TrialsWithoutAnAnswerCountUntilTheirLeafReplies)
{
    for (std::uint64_t leaf = 1; leaf <= 5; ++leaf)
        lose(poison, leaf);
    for (std::uint64_t leaf = 6; leaf <= 8; ++leaf) {
        now = table.nextTrialTime(*table.find(poison));
        request_evidence evidence { [this] { return request_digests { poison }; } };
        table.recordCall(evidence, now);
        table.recordUnansweredTrial(evidence, { leaf, now, now + 1s }, now + 1s);
        now += 1s;
    }
    CHECK(table.judge({ poison }, now + 60s) == verdict::quarantined);
    for (std::uint64_t leaf = 6; leaf <= 8; ++leaf) {
        for (auto const after : { 2s, 7s })
            table.refuteLossesBefore(leaf, now + after, now + after);
    }
    CHECK(table.judge({ poison }, now + 7s) == verdict::trial);
}

// Guards against: a trial whose connection is refused uses up the next turn as well.
TEST(QuarantineTable, TrialThatReachedNoLeafDelaysTheNextOneLittle)
{
    quarantine(poison);
    for (std::uint64_t leaf = 4; leaf <= 6; ++leaf) {
        now += 20s;
        lose(poison, leaf);
    }
    now = table.nextTrialTime(*table.find(poison));
    request_evidence evidence { [this] { return request_digests { poison }; } };
    table.recordCall(evidence, now);
    CHECK(table.judge({ poison }, now + 60s) == verdict::quarantined);
    table.recordUnsentTrial(evidence);
    CHECK(table.judge({ poison }, now + 4s) == verdict::trial);
}

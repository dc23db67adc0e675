#include "Libraries/zinnialedge/wire/membership_codec.h"
#include "Tests/Support/membership_network.h"
#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <limits>

using namespace zinnialedge;
using namespace zinnialedge::membership;
using zinnialedge::tests::membership_network;
using namespace std::chrono_literals;

TEST_GROUP(Membership)
{
    membership_network network { 7 };

    static std::string nameOf(int index)
    {
        return "d" + std::to_string(index);
    }

    void startAll(std::uint16_t count)
    {
        for (std::uint16_t index = 1; index <= count; ++index)
            network.start(nameOf(index), index, { 1, 2 }, index % 2 ? "suva-a" : "suva-b");
        CHECK(network.runUntil([&] { return allServing(); }, 20s).has_value());
    }

    bool allServing()
    {
        auto const& nodes = network.nodes();
        return std::all_of(nodes.begin(), nodes.end(), [&](auto const& each) { return network.allNodesReport(each.second.engine->self().record.name, member_status::serving); });
    }

    bool allRunningServing()
    {
        auto const& nodes = network.nodes();
        return std::all_of(nodes.begin(), nodes.end(), [&](auto const& each) { return !each.second.isRunning || network.allNodesReport(each.second.engine->self().record.name, member_status::serving); });
    }

    bool noneSees(std::string const& name, member_status status)
    {
        auto const& nodes = network.nodes();
        return std::none_of(nodes.begin(), nodes.end(), [&](auto const& each) {
            auto const found = each.second.seen.find(name);
            return found != each.second.seen.end() && found->second == status;
        });
    }

    std::uint64_t countReportedDeaths()
    {
        std::uint64_t sum = 0;
        for (auto const& [index, node] : network.nodes())
            sum += node.reportedDeathCount;
        return sum;
    }
};

TEST(Membership, DeadDaemonIsNoLongerServingAfterThreeSeconds)
{
    for (std::uint16_t count : { 2, 5, 20 }) {
        network.nodes().clear();
        startAll(count);
        network.at(count).isRunning = false;
        CHECK(network.runUntil([&] { return noneSees(nameOf(count), member_status::serving); }, 3s).has_value());
        CHECK(network.runUntil([&] { return network.allNodesReport(nameOf(count), member_status::dead); }, 10s).has_value());
    }
}

TEST(Membership, FivePercentDatagramLossCausesNoDeaths)
{
    network.loss = 0.05;
    startAll(10);
    network.run(600s);
    LONGS_EQUAL(0, countReportedDeaths());
    CHECK(allServing());
}

TEST(Membership, FalseSuspicionIsRefuted)
{
    startAll(5);
    auto update = network.at(3).engine->self();
    update.status = member_status::suspect;
    datagram gossip;
    gossip.sender = network.at(2).engine->self();
    gossip.updates = { update };
    network.give(1, datagram_received { membership_network::endpointOf(2), gossip });
    CHECK(network.at(1).seen.at("d3") == member_status::suspect);
    CHECK(network.runUntil([&] { return allServing(); }, 3s).has_value());
    CHECK(network.at(3).engine->self().version > update.version);
    network.run(10s);
    LONGS_EQUAL(0, countReportedDeaths());
}

TEST(Membership, PartitionedMembersRejoinWithoutSeeds)
{
    startAll(9);
    // The seeds stay down, so the two sides can only find each other through members that they consider dead.
    network.at(1).isRunning = false;
    network.at(2).isRunning = false;
    network.run(10s);
    for (std::uint16_t index : { 3, 4, 5 })
        network.at(index).side = 1;
    CHECK(network.runUntil([&] { return network.at(3).engine->members().deadNames().size() == 6 && network.at(6).engine->members().deadNames().size() == 5; }, 15s).has_value());
    network.run(300s);
    for (std::uint16_t index : { 3, 4, 5 })
        network.at(index).side = 0;
    CHECK(network.runUntil([&] { return allRunningServing(); }, 30s).has_value());
}

TEST(Membership, RestartedDaemonReplacesPreviousIncarnation)
{
    startAll(5);
    auto const before = network.at(5).engine->self();
    network.start("d5", 5, { 1 });
    auto const after = network.at(5).engine->self();
    auto const isReplaced = [&] {
        auto const* known = network.at(2).engine->members().find("d5");
        return known && known->record.incarnation == after.record.incarnation;
    };
    CHECK(network.runUntil(isReplaced, 3s).has_value());
    // Old gossip must not revive the previous process.
    datagram gossip;
    gossip.sender = network.at(1).engine->self();
    gossip.updates = { before };
    network.give(2, datagram_received { membership_network::endpointOf(1), gossip });
    CHECK(isReplaced());
    // A daemon with another name at the same endpoint makes the previous name dead.
    network.start("d6", 5, { 1 });
    CHECK(network.runUntil([&] { return network.allNodesReport("d6", member_status::serving) && noneSees("d5", member_status::serving); }, 3s).has_value());
    gossip.updates = { after };
    network.give(2, datagram_received { membership_network::endpointOf(1), gossip });
    CHECK(network.at(2).seen.at("d5") == member_status::dead);
}

TEST(Membership, OldGossipDoesNotReviveDeadMember)
{
    startAll(4);
    auto const updateBeforeDeath = network.at(4).engine->self();
    network.at(4).isRunning = false;
    CHECK(network.runUntil([&] { return network.allNodesReport("d4", member_status::dead); }, 10s).has_value());
    network.duplicates = 0.3;
    network.longestDelay = 400ms;
    for (int round = 0; round < 100; ++round) {
        datagram gossip;
        gossip.sender = network.at(1).engine->self();
        gossip.updates = { updateBeforeDeath };
        network.give(2, datagram_received { membership_network::endpointOf(1), gossip });
        network.run(100ms);
        CHECK(network.at(2).seen.at("d4") == member_status::dead);
    }
}

TEST(Membership, ResumedDaemonCausesNoFalseDeaths)
{
    startAll(6);
    // The daemon freezes while it suspects d5 and misses the refutation, so the suspicion is overdue when the daemon resumes.
    datagram gossip;
    gossip.sender = network.at(1).engine->self();
    gossip.updates = { network.at(5).engine->self() };
    gossip.updates.front().status = member_status::suspect;
    network.give(6, datagram_received { membership_network::endpointOf(1), gossip });
    network.at(6).isFrozen = true;
    network.run(60s);
    CHECK(network.allNodesReport("d6", member_status::dead));
    auto const before = countReportedDeaths();
    network.at(6).isFrozen = false;
    network.give(6, membership_timer_due {});
    auto const lastHeardBefore = network.at(6).engine->lastAcknowledgedPingTime();
    CHECK(network.runUntil([&] { return network.at(6).engine->lastAcknowledgedPingTime() > lastHeardBefore; }, 3s).has_value());
    CHECK(network.runUntil([&] { return allServing(); }, 15s).has_value());
    network.run(20s);
    LONGS_EQUAL(before, countReportedDeaths());
}

TEST(Membership, LeavingDaemonIsReportedDeadWithoutSuspicion)
{
    startAll(6);
    network.give(6, status_declared { member_status::leaving });
    CHECK(network.runUntil([&] { return network.allNodesReport("d6", member_status::leaving); }, 3s).has_value());
    network.give(6, process_stopping {});
    network.at(6).isRunning = false;
    CHECK(network.runUntil([&] { return network.allNodesReport("d6", member_status::dead); }, 1s).has_value());
}

TEST(Membership, UpdatesOfReadTableAreNotQueued)
{
    startAll(20);
    network.run(60s);
    network.start("d21", 21, { 1 });
    CHECK(network.runUntil([&] { return network.at(21).engine->members().liveCount() == 20; }, 3s).has_value());
    CHECK(network.at(21).engine->queuedUpdateCount() < 5);
}

TEST(Membership, DatagramsStayWithinSizeLimit)
{
    datagram content;
    content.sender = network.start("d1", 1, {}, "suva-a", 0.12).engine->self();
    for (std::uint16_t index = 2; index < 200; ++index) {
        auto update = content.sender;
        update.record.name = "a-daemon-of-a-longer-name-" + std::to_string(index);
        update.record.peerEndpoint.port = index;
        update.record.incarnation = 1764801234567890 + index;
        content.updates.push_back(update);
    }
    network.give(1, datagram_received { membership_network::endpointOf(2), { .sender = content.updates.front(), .updates = content.updates } });
    for (auto const kind : { datagram_kind::ping, datagram_kind::members_request }) {
        datagram request = { .kind = kind, .sender = content.updates.front() };
        for (auto const& action : network.at(1).engine->step(datagram_received { membership_network::endpointOf(2), request }, network.now())) {
            auto const* sent = std::get_if<send_datagram>(&action);
            if (!sent)
                continue;
            auto const bytes = wire::encodeDatagram(sent->content);
            CHECK(bytes.size() <= maximumDatagramBytes);
            CHECK(wire::decodeDatagram(bytes).value() == sent->content);
            CHECK(sent->content.updates.size() > 5);
        }
    }
    CHECK(!wire::decodeDatagram("nonsense").has_value());
    CHECK(!wire::decodeDatagram({}).has_value());
}

// Guards against: the size of the strength is missing in the bound, and full datagrams exceed their limit.
TEST(Membership, BoundOfUpdateSizeCoversTheStrength)
{
    member_update update;
    update.record = { "d", "", "", "", 1, { "::", 65535 }, { "::", 65535 }, false };
    datagram content { .sender = update, .updates = { update } };
    auto const bytesWithout = wire::encodeDatagram(content).size();
    auto const boundWithout = maximumEncodedBytes(update);
    content.updates.front().strength = 0.12;
    auto const added = wire::encodeDatagram(content).size() - bytesWithout;
    CHECK(added > 0);
    CHECK(added <= maximumEncodedBytes(content.updates.front()) - boundWithout);
}

// Guards against: an unknown strength is read as zero, and a suspicion makes a known strength unknown, which changes the serving group.
TEST(Membership, StrengthReachesOthersAndOutlastsSuspicion)
{
    for (std::uint16_t index = 1; index <= 3; ++index)
        network.start(nameOf(index), index, { 1, 2 }, "suva-a", index == 3 ? std::nullopt : std::optional { 0.25 * index });
    CHECK(network.runUntil([&] { return allServing(); }, 20s).has_value());
    auto const strengthOf = [&](int index) { return network.at(1).engine->members().find(nameOf(index))->strength; };
    CHECK(strengthOf(2) == 0.5);
    CHECK(strengthOf(3) == std::nullopt);
    auto suspicion = network.at(2).engine->self();
    suspicion.status = member_status::suspect;
    suspicion.strength.reset();
    network.give(1, datagram_received { membership_network::endpointOf(3), { .sender = network.at(3).engine->self(), .updates = { suspicion } } });
    CHECK(network.at(1).engine->members().find(nameOf(2))->status == member_status::suspect);
    CHECK(strengthOf(2) == 0.5);
    // A strength that is not a processor share is unknown.
    for (auto const invalid : { 0.0, -1.0, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity() }) {
        auto sender = network.at(2).engine->self();
        sender.strength = invalid;
        CHECK(wire::decodeDatagram(wire::encodeDatagram({ .sender = sender })).value().sender.strength == std::nullopt);
    }
}

// Guards against daemons that do not hear which requests end leafs: far away ones, and ones that start or come back later.
TEST(Membership, SuspectsReachEveryDaemonWithinASecond)
{
    network.loss = 0.02;
    startAll(40);
    quarantine::suspect const poison { .request = quarantine::computeDigest({ "poison" }), .losses = { { 1, network.now(), network.now() }, { 2, network.now(), network.now() }, { 3, network.now(), network.now() } } };
    auto const hasHeard = [&](std::uint16_t index) { return network.at(index).toldSuspects.contains(poison.request); };
    auto const haveHeard = [&](std::uint16_t first, std::uint16_t last) {
        for (auto index = first; index <= last; ++index) {
            if (!hasHeard(index))
                return false;
        }
        return true;
    };
    network.at(40).side = 1;
    network.give(1, suspects_changed { { poison } });
    CHECK(network.runUntil([&] { return haveHeard(2, 39); }, 1s).has_value());
    network.start(nameOf(41), 41, { 1, 2 });
    CHECK(network.runUntil([&] { return hasHeard(41); }, 1s).has_value());
    CHECK_FALSE(hasHeard(40));
    network.at(40).side = 0;
    CHECK(network.runUntil([&] { return hasHeard(40); }, 4s).has_value());
}

// Guards against: daemons go on listing a daemon that has lost its leafs, and passing work to it.
TEST(Membership, LossOfLeafsReachesEveryDaemonBeforeTheStableWindowEnds)
{
    network.loss = 0.02;
    startAll(40);
    auto const allKnow = [&](bool reachesLeafs) {
        return std::all_of(network.nodes().begin(), network.nodes().end(), [&](auto const& entry) {
            auto const* const member = entry.second.engine->members().find(nameOf(1));
            return entry.first == 1 || (member && member->reachesLeafs == reachesLeafs);
        });
    };
    CHECK(allKnow(true));
    network.give(1, leaf_reach_changed { false });
    CHECK(network.runUntil([&] { return allKnow(false); }, 4s).has_value());
    // What others suspect of a member says nothing about its links.
    network.at(1).isFrozen = true;
    CHECK(network.runUntil([&] { return network.allNodesReport(nameOf(1), member_status::suspect); }, 10s).has_value());
    CHECK(allKnow(false));
    network.at(1).isFrozen = false;
    CHECK(network.runUntil([&] { return network.allNodesReport(nameOf(1), member_status::serving) || network.allNodesReport(nameOf(1), member_status::joining); }, 10s).has_value());
    network.give(1, leaf_reach_changed { true });
    CHECK(network.runUntil([&] { return allKnow(true); }, 4s).has_value());
}

// Guards against: most of the bytes between data centres are probes, which most daemons could send to their neighbours.
// Load: 26 daemons in 3 data centres.
TEST(Membership, FewBytesPassBetweenDataCentresInSteadyState)
{
    for (std::uint16_t index = 1; index <= 26; ++index)
        network.start(nameOf(index), index, { 1, 2 }, "suva-" + std::to_string(index % 3));
    CHECK(network.runUntil([&] { return allServing(); }, 20s).has_value());
    network.run(20s);
    network.shouldCountBytes = true;
    network.run(10s);
    std::uint64_t remoteBytes = 0;
    for (auto const& [index, node] : network.nodes())
        remoteBytes += node.remoteByteCount;
    CHECK(remoteBytes <= 60'000);
    // A cut is found although few probes cross it.
    for (auto& [index, node] : network.nodes())
        node.side = index % 3 == 0 ? 1 : 0;
    CHECK(network.runUntil([&] { return std::all_of(network.nodes().begin(), network.nodes().end(), [](auto const& each) { return each.second.engine->members().deadNames().size() == (each.first % 3 == 0 ? 18 : 8); }); }, 9s).has_value());
}

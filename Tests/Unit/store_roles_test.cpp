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

constexpr auto stepTime = 10ms;

struct simulated_daemon {
    serving_daemon record;
    std::unique_ptr<store_roles> roles;
    std::optional<reader_poll> poll;
    time_point polledAt;
    bool isRunning { true };
    bool isFrozen { false };
    bool reachesStore { true };
    time_point lostAt;

    bool isUsable() const { return isRunning && !isFrozen && roles->readsStore() && reachesStore; }
    /// Subscribers wait for a short time for a reader without the store to find a source.
    bool hasSource(time_point now) const { return roles->isStoreLost() && (roles->reader() || now < lostAt + 200ms); }
    bool suppliesSubscribers(time_point now) const { return isUsable() || (isRunning && !isFrozen && hasSource(now)); }
};

}

/// Daemons on virtual time that poll each other. Messages take no time.
TEST_GROUP(StoreRoles)
{
    time_point now { 1h };
    std::vector<simulated_daemon> daemons;
    std::size_t mostReading = 0;
    std::size_t pollCount = 0;
    std::size_t remotePollCount = 0;

    void startAll(std::vector<std::size_t> const& countPerDataCentre)
    {
        for (std::size_t dataCentre = 0; dataCentre < countPerDataCentre.size(); ++dataCentre) {
            for (std::size_t index = 0; index < countPerDataCentre[dataCentre]; ++index) {
                auto const number = std::to_string(daemons.size());
                daemons.emplace_back().record = { "d" + number, "dc" + std::to_string(dataCentre), { "10.0.0." + number, 7380 } };
            }
        }
        std::vector<model::endpoint> seeds;
        seeds.reserve(daemons.size());
        for (auto const& each : daemons)
            seeds.push_back(each.record.place);
        for (auto& each : daemons) {
            each.roles = std::make_unique<store_roles>(fleet::role_settings { each.record.name, each.record.dataCentre, each.record.place, seeds }, kernel::makeSeededRandom(daemons.size() + static_cast<std::size_t>(&each - daemons.data())));
            each.roles->setDaemons({ each.record }, now);
            each.roles->start(now);
        }
    }

    /// Lets all daemons know which daemons run.
    void tellMembers()
    {
        std::vector<serving_daemon> records;
        for (auto const& each : daemons) {
            if (each.isRunning)
                records.push_back(each.record);
        }
        for (auto& each : daemons)
            each.roles->setDaemons(records, now);
    }

    simulated_daemon& at(model::endpoint const& place)
    {
        return *std::find_if(daemons.begin(), daemons.end(), [&](auto const& each) { return each.record.place == place; });
    }

    void step(simulated_daemon & each)
    {
        if (each.poll) {
            auto const& target = at(each.poll->place);
            auto const place = each.poll->place;
            bool const isAnswering = target.isRunning && !target.isFrozen;
            bool const isReader = each.roles->reader() == place;
            bool const isAnswerDue = isAnswering && (target.suppliesSubscribers(now) != isReader || now >= each.polledAt + each.poll->holdTime);
            if (isAnswerDue || !target.isRunning || now >= each.polledAt + each.poll->timeout)
                each.poll.reset();
            if (isAnswerDue)
                each.roles->handleAnswer(place, { target.roles->readsStore(), target.reachesStore, target.roles->role() == store_role::reader, target.hasSource(now) }, now);
            else if (!each.poll)
                each.roles->handleFailure(place, now);
        }
        if (each.reachesStore == each.roles->isStoreLost()) {
            each.roles->setStoreLost(!each.reachesStore, now);
            each.lostAt = now;
        }
        each.roles->advance(now);
        if (!each.poll) {
            each.poll = each.roles->takePoll(now);
            each.polledAt = now;
            if (each.poll) {
                ++pollCount;
                remotePollCount += at(each.poll->place).record.dataCentre == each.record.dataCentre ? 0 : 1;
            }
        }
    }

    std::size_t countReading() const
    {
        return static_cast<std::size_t>(std::count_if(daemons.begin(), daemons.end(), [](auto const& each) { return each.isRunning && each.roles->readsStore(); }));
    }

    /// Returns whether the daemon gets what is new in the store.
    bool isInformed(simulated_daemon const& each)
    {
        if (!each.isRunning || each.isFrozen || each.isUsable())
            return true;
        if (!each.roles->reader())
            return false;
        auto const& reader = at(*each.roles->reader());
        return reader.isUsable() || (!each.roles->readsStore() && reader.roles->isStoreLost() && reader.roles->reader() && at(*reader.roles->reader()).isUsable());
    }

    bool areAllInformed()
    {
        return std::all_of(daemons.begin(), daemons.end(), [this](auto const& each) { return isInformed(each); });
    }

    /// Runs until the condition holds and returns the time that passed, or until the bound.
    kernel::duration runUntil(std::function<bool()> const& condition, kernel::duration bound)
    {
        auto const begin = now;
        mostReading = 0;
        pollCount = 0;
        remotePollCount = 0;
        while (now < begin + bound && !condition()) {
            now += stepTime;
            for (auto& each : daemons) {
                if (each.isRunning && !each.isFrozen)
                    step(each);
            }
            mostReading = std::max(mostReading, countReading());
        }
        return now - begin;
    }

    void run(kernel::duration duration)
    {
        runUntil([] { return false; }, duration);
    }

    std::vector<simulated_daemon*> readersOf(std::string const& dataCentre)
    {
        std::vector<simulated_daemon*> readers;
        for (auto& each : daemons) {
            if (each.isRunning && each.record.dataCentre == dataCentre && each.roles->role() == store_role::reader)
                readers.push_back(&each);
        }
        return readers;
    }

    void settle(std::vector<std::size_t> const& countPerDataCentre)
    {
        startAll(countPerDataCentre);
        tellMembers();
        run(10s);
    }
};

// Guards against: all daemons of a large deployment list the store when they start together, and wait for each other too long.
TEST(StoreRoles, StartOfAllDaemonsCausesNoHerdOnTheStore)
{
    startAll({ 31, 30, 30 });
    CHECK(runUntil([this] { return areAllInformed(); }, 5s) <= 1s);
    run(500ms);
    tellMembers();
    run(10s);
    CHECK(mostReading <= 12);
    LONGS_EQUAL(6, countReading());
    for (auto const* const dataCentre : { "dc0", "dc1", "dc2" })
        LONGS_EQUAL(2, readersOf(dataCentre).size());
    CHECK(areAllInformed());
    // Subscribers prefer readers of their own data centre, and use them equally.
    for (auto const* const reader : readersOf("dc0")) {
        auto const subscribers = std::count_if(daemons.begin(), daemons.end(), [&](auto const& each) { return each.roles->reader() == reader->record.place; });
        CHECK(subscribers >= 8 && subscribers <= 21);
    }
}

// Guards against: a daemon that starts alone in a deployment that runs asks all others, and reads the store meanwhile.
TEST(StoreRoles, RestartedDaemonFindsAReaderThroughTheMembers)
{
    settle({ 91 });
    auto& restarted = *std::find_if(daemons.begin(), daemons.end(), [](auto const& each) { return each.roles->role() == store_role::subscriber && each.roles->counters().ownReadingCount == 0; });
    std::vector<model::endpoint> seeds;
    std::vector<serving_daemon> records;
    seeds.reserve(daemons.size());
    records.reserve(daemons.size());
    for (auto const& each : daemons) {
        seeds.push_back(each.record.place);
        records.push_back(each.record);
    }
    restarted.poll.reset();
    restarted.roles = std::make_unique<store_roles>(fleet::role_settings { restarted.record.name, restarted.record.dataCentre, restarted.record.place, seeds }, kernel::makeSeededRandom(1));
    restarted.roles->start(now);
    restarted.roles->setDaemons(records, now);
    CHECK(runUntil([&] { return restarted.roles->reader().has_value(); }, 5s) <= 500ms);
    LONGS_EQUAL(2, mostReading);
}

// Guards against: the first daemons are down, and the others wait for them.
TEST(StoreRoles, StartWithoutTheFirstReadersIsBounded)
{
    startAll({ 91 });
    for (auto& each : daemons)
        each.isRunning = !each.roles->readsStore();
    CHECK(countReading() == 0);
    CHECK(runUntil([this] { return areAllInformed(); }, 10s) <= 4s);
}

// Guards against: deployments with few daemons in each data centre depend on readers.
TEST(StoreRoles, AllDaemonsOfASmallDataCentreRead)
{
    settle({ 3, 4, 1 });
    LONGS_EQUAL(3, readersOf("dc0").size());
    LONGS_EQUAL(2, readersOf("dc1").size());
    LONGS_EQUAL(1, readersOf("dc2").size());
}

// Guards against: the loss of all readers of a data centre makes every subscriber there read the store.
TEST(StoreRoles, KilledReadersAreReplacedWithoutAHerd)
{
    settle({ 40 });
    for (auto* const each : readersOf("dc0"))
        each->isRunning = false;
    CHECK(runUntil([this] { return areAllInformed(); }, 5s) <= 1500ms);
    run(3s);
    CHECK(mostReading <= 4);
    tellMembers();
    LONGS_EQUAL(2, readersOf("dc0").size());
    run(5s);
    LONGS_EQUAL(2, countReading());
    CHECK(areAllInformed());
}

// Guards against: subscribers wait for a reader that is frozen, longer than a configuration may take.
TEST(StoreRoles, FrozenReadersAreLeftWithinTwoSeconds)
{
    settle({ 30, 30 });
    readersOf("dc0").front()->isFrozen = true;
    CHECK(runUntil([this] { return areAllInformed(); }, 5s) <= 2100ms);
    // With the other reader frozen too, readers of the other data centre answer.
    readersOf("dc0").back()->isFrozen = true;
    CHECK(runUntil([this] { return areAllInformed(); }, 5s) <= 4s);
    // The readers that return are used again.
    for (auto& each : daemons)
        each.isFrozen = false;
    run(12s);
    CHECK(std::all_of(daemons.begin(), daemons.end(), [this](auto const& each) { return !each.roles->reader() || at(*each.roles->reader()).record.dataCentre == each.record.dataCentre; }));
    LONGS_EQUAL(4, countReading());
}

// Guards against: readers without a path to the store keep their subscribers.
TEST(StoreRoles, ReadersWithoutTheStoreLoseTheirSubscribers)
{
    settle({ 30, 30 });
    for (auto* const each : readersOf("dc0"))
        each->reachesStore = false;
    CHECK(runUntil([&] { return std::all_of(daemons.begin(), daemons.end(), [&](auto const& each) { return !each.reachesStore || isInformed(each); }); }, 5s) <= 1500ms);
    run(10s);
    CHECK(mostReading <= 6);
}

// Guards against: when the store turns a whole data centre away, each of its daemons gets the objects from another data centre.
TEST(StoreRoles, DataCentreWithoutTheStoreIsSuppliedThroughItsReaders)
{
    settle({ 9, 9, 8 });
    for (auto& each : daemons)
        each.reachesStore = each.record.dataCentre != "dc0";
    CHECK(runUntil([this] { return areAllInformed(); }, 5s) <= 1s);
    run(10s);
    CHECK(areAllInformed());
    auto const polledInOtherDataCentre = std::count_if(daemons.begin(), daemons.end(), [&](auto const& each) { return each.roles->reader() && at(*each.roles->reader()).record.dataCentre != each.record.dataCentre; });
    LONGS_EQUAL(2, polledInOtherDataCentre);
    // Two held polls a second, and a look for a source in the own data centre each 5 s.
    CHECK(remotePollCount <= 26);
    for (auto& each : daemons)
        each.reachesStore = true;
    run(3s);
    CHECK(areAllInformed());
    run(5s);
    LONGS_EQUAL(0, remotePollCount);
    LONGS_EQUAL(6, countReading());
}

// Guards against: daemons that all read the store and that the store turns away do not find those that it serves, or poll them all the time.
TEST(StoreRoles, DaemonsThatTheStoreTurnsAwayUseOneThatReachesIt)
{
    settle({ 3, 2, 1 });
    for (auto& each : daemons)
        each.reachesStore = each.record.name == "d3";
    CHECK(runUntil([this] { return areAllInformed(); }, 5s) <= 3500ms);
    LONGS_EQUAL(6, countReading());
    run(5s);
    CHECK(areAllInformed());
    CHECK(pollCount <= 40);
    at({ "10.0.0.3", 7380 }).reachesStore = false;
    run(3s);
    // Nobody reaches the store: a held poll of one daemon, and a round to all in 2 s.
    run(10s);
    CHECK(pollCount <= std::size_t { 6 } * (std::size_t { 10 } + std::size_t { 5 } * 5));
    at({ "10.0.0.5", 7380 }).reachesStore = true;
    CHECK(runUntil([this] { return areAllInformed(); }, 5s) <= 3s);
}

// Guards against: while no reader reaches the store, a subscriber that does gets nothing; and all go on reading after the outage.
TEST(StoreRoles, SubscribersReadTheStoreWhileNoReaderReachesIt)
{
    settle({ 30 });
    for (auto& each : daemons)
        each.reachesStore = false;
    run(2s);
    LONGS_EQUAL(30, countReading());
    CHECK(std::all_of(daemons.begin(), daemons.end(), [](auto const& each) { return each.roles->role() == store_role::reader || each.roles->hasHeardOfOutage(); }));
    for (auto& each : daemons)
        each.reachesStore = true;
    run(2s);
    LONGS_EQUAL(2, countReading());
    CHECK(areAllInformed());
}

// Guards against: daemons that come and go in quick succession change the roles of others each time.
TEST(StoreRoles, RoleChangesAreDamped)
{
    settle({ 24 });
    auto* const reader = readersOf("dc0").front();
    // A daemon that was not known to the others before ranks first, and leaves again.
    auto const changesBefore = reader->roles->counters().roleChangeCount;
    std::vector<serving_daemon> others;
    for (auto const& each : daemons) {
        if (&each != reader)
            others.push_back(each.record);
    }
    auto strong = others;
    strong.push_back(reader->record);
    for (auto& each : strong)
        each.strength = each.name == reader->record.name ? 0.1 : 1;
    reader->roles->setDaemons(strong, now);
    run(2s);
    CHECK(reader->roles->role() == store_role::reader);
    tellMembers();
    run(5s);
    LONGS_EQUAL(changesBefore, reader->roles->counters().roleChangeCount);
    // A change that stays takes effect, and the former reader reads until it has found another one.
    reader->roles->setDaemons(strong, now);
    run(4s);
    CHECK(reader->roles->role() == store_role::subscriber);
    CHECK(isInformed(*reader));
}

// Guards against: two subscribers that read the store for want of a reader stop for each other, and nobody reads it.
TEST(StoreRoles, OwnReadingEndsOnlyForAReader)
{
    startAll({ 30 });
    tellMembers();
    auto& reading = *std::find_if(daemons.begin(), daemons.end(), [](auto const& each) { return each.roles->readsStore() && !each.roles->isReader(each.record.name); });
    reading.roles->handleAnswer({ "10.0.0.99", 7380 }, { .readsStore = true, .isStoreReached = true, .isReader = false }, now);
    CHECK(reading.roles->readsStore());
    reading.roles->handleAnswer({ "10.0.0.99", 7380 }, { .readsStore = true, .isStoreReached = true, .isReader = true }, now);
    CHECK(!reading.roles->readsStore());
}

// Guards against: a daemon of an earlier version, which answers each poll with everything, is polled without a pause.
TEST(StoreRoles, DaemonsOfAnEarlierVersionAreNotUsedAsReaders)
{
    store_roles roles { { "self", "dc", { "10.0.0.1", 1 }, { { "10.0.0.2", 1 } } }, kernel::makeSeededRandom(3) };
    roles.start(now);
    std::size_t polls = 0;
    for (auto const end = now + 20s; now < end; now += stepTime) {
        roles.advance(now);
        if (auto const poll = roles.takePoll(now)) {
            ++polls;
            roles.handleAnswer(poll->place, { .holdsPolls = false }, now);
        }
    }
    CHECK(polls <= 1);
    CHECK(roles.readsStore());
}

// Load: a weak VM, on which a turn of the event loop takes as long as the pause between two polls.
// Guards against: a poll that becomes due during a turn has no timer, so that the subscriber polls no more and calls leafs that have left.
TEST(StoreRoles, SubscriberThatWakesAtTheTimesItAsksForNeverStopsPolling)
{
    settle({ 20 });
    auto const found = std::find_if(daemons.begin(), daemons.end(), [](auto const& each) { return each.roles->role() == store_role::subscriber; });
    auto& roles = *found->roles;
    auto random = kernel::makeSeededRandom(1);
    auto const passTurn = [&] { now += std::chrono::milliseconds { random() % 120 }; };
    if (found->poll)
        roles.handleAnswer(found->poll->place, { true, true, true, false }, now);
    for (std::size_t polls = 0; polls < 500;) {
        auto const wakeAt = roles.nextTime();
        CHECK(wakeAt.has_value());
        CHECK(*wakeAt <= now + 1s);
        now = std::max(now, *wakeAt);
        roles.advance(now);
        auto const poll = roles.takePoll(now);
        passTurn();
        if (!poll)
            continue;
        ++polls;
        passTurn();
        roles.handleAnswer(poll->place, { true, true, true, false }, now);
        passTurn();
    }
}

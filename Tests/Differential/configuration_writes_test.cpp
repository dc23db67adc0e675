#include "Libraries/zinnialedge/configuration/object_write.h"
#include "Libraries/zinnialedge/language/parser.h"
#include <CppUTest/TestHarness.h>
#include <deque>
#include <functional>

using namespace zinnialedge;
using namespace zinnialedge::configuration;
using kernel::time_point;
using std::chrono::milliseconds;

namespace {

/// A command that sets one field, with the result that its writer received.
struct operator_command {
    std::string text;
    std::string field;
    std::string value;
    std::optional<errors::error_or<accepted_write>> result;
};

/// Simulates on virtual time several daemons that write one object of a store. The store loses requests and replies, delays
/// writes, returns stale reads and has outages.
class write_simulation {
public:
    explicit write_simulation(std::uint64_t seed)
        : m_random(kernel::makeSeededRandom(seed))
    {
        model::service_declaration service { .name = "a", .partner = "suva", .shardCount = 2 };
        for (auto const* target : { "t0", "t1", "t2", "t3" })
            service.targets.push_back({ target, { "127.0.0.1", 1 } });
        m_versions.push_back({ 1, formatServiceObject({ "a", service, {} }) });
    }

    void run()
    {
        for (std::size_t daemon = 0; daemon < m_queuedCommands.size(); ++daemon) {
            for (int each = 0; each < 25; ++each)
                schedule(drawBelow(20'000), [this, daemon] { submit(daemon); });
        }
        for (int outage = 0; outage < 3; ++outage) {
            auto const begin = drawBelow(20'000);
            schedule(begin, [this] { m_isStoreUnavailable = true; });
            schedule(begin + drawBelow(4'000), [this] { m_isStoreUnavailable = false; });
        }
        while (!m_events.empty()) {
            auto const next = m_events.begin();
            m_now = next->first;
            auto const work = std::move(next->second);
            m_events.erase(next);
            work();
        }
    }

    std::deque<operator_command> commands;
    /// Index of the command that wrote each version of the object, in commit order.
    std::vector<std::size_t> committedCommands;

    service_object finalObject() const { return *parseServiceObject(m_versions.back().body); }
    service_object firstObject() const { return *parseServiceObject(m_versions.front().body); }

private:
    struct pending_write {
        std::size_t daemon;
        std::size_t command;
        object_write stateMachine;
    };

    std::uint64_t drawBelow(std::uint64_t below) { return m_random() % below; }
    void schedule(std::uint64_t delay, std::function<void()> work) { m_events.emplace(m_now + milliseconds { delay }, std::move(work)); }

    void submit(std::size_t daemon)
    {
        auto const target = "t" + std::to_string(drawBelow(4));
        auto const number = std::to_string(1 + drawBelow(60));
        bool const isDrain = drawBelow(2) == 0;
        std::array<operator_command, 3> const candidates { {
            { (isDrain ? "drain target " : "undrain target ") + target + " of a", "target " + target + " draining", isDrain ? "yes" : "no", {} },
            { "service a { hedge " + number + "% }", "hedge", number + "%", {} },
            { "service a { group " + number + " }", "group", number, {} },
        } };
        commands.push_back(candidates[drawBelow(candidates.size())]);
        m_queuedCommands[daemon].push_back(commands.size() - 1);
        if (m_queuedCommands[daemon].size() == 1)
            startNext(daemon);
    }

    void startNext(std::size_t daemon)
    {
        if (m_queuedCommands[daemon].empty())
            return;
        auto const command = m_queuedCommands[daemon].front();
        object_write_request request { groupByService(*language::parseStatements(commands[command].text)).front(), "suva", "d" + std::to_string(daemon), command, m_lastSeenVersions[daemon], m_now + milliseconds { 3000 } };
        auto const pending = std::make_shared<pending_write>(pending_write { daemon, command, object_write { std::move(request), m_random } });
        perform(pending, pending->stateMachine.start());
    }

    void perform(std::shared_ptr<pending_write> const& pending, write_action const& action)
    {
        if (std::holds_alternative<read_object>(action)) {
            read(pending);
        } else if (auto const* write = std::get_if<write_object>(&action)) {
            this->write(pending, *write);
        } else if (auto const* wakeUp = std::get_if<retry_later>(&action)) {
            m_events.emplace(wakeUp->at, [this, pending] { perform(pending, pending->stateMachine.handleTimer()); });
        } else {
            completeCommand(*pending, std::get<write_finished>(action).result);
        }
    }

    void completeCommand(pending_write const& pending, errors::error_or<accepted_write> const& result)
    {
        commands[pending.command].result = result;
        if (result) {
            CHECK(result->version >= m_lastSeenVersions[pending.daemon]);
            m_lastSeenVersions[pending.daemon] = result->version;
        }
        m_queuedCommands[pending.daemon].pop_front();
        startNext(pending.daemon);
    }

    void read(std::shared_ptr<pending_write> const& pending)
    {
        bool const isLost = m_isStoreUnavailable || drawBelow(10) == 0;
        bool const isStale = drawBelow(10) == 0;
        schedule(isLost ? 200 : 1 + drawBelow(20), [this, pending, isLost, isStale] {
            auto const& object = isStale ? m_versions[drawBelow(m_versions.size())] : m_versions.back();
            read_result const found { isLost ? store_reply::unknown : store_reply::done, object.version, object.body };
            perform(pending, pending->stateMachine.handle(found, m_now));
        });
    }

    void write(std::shared_ptr<pending_write> const& pending, write_object const& update)
    {
        auto const faultKind = m_isStoreUnavailable ? 0 : drawBelow(6);
        bool const isApplied = faultKind != 0;
        bool const isReplyLost = faultKind < 3;
        auto const delay = faultKind == 2 ? 50 + drawBelow(800) : 1 + drawBelow(20);
        auto const reply = [this, pending](write_result const& result) { perform(pending, pending->stateMachine.handle(result, m_now)); };
        if (isApplied) {
            schedule(delay, [this, pending, update, reply, isReplyLost] {
                auto const result = apply(update, pending->command);
                if (!isReplyLost)
                    reply(result);
            });
        }
        if (isReplyLost)
            schedule(200, [reply] { reply({ store_reply::unknown, 0 }); });
    }

    write_result apply(write_object const& update, std::size_t command)
    {
        auto const currentVersion = m_versions.back().version;
        if (currentVersion != update.expectedVersion)
            return { store_reply::precondition_failed, 0 };
        m_versions.push_back({ currentVersion + 1 + drawBelow(3), update.body });
        committedCommands.push_back(command);
        return { store_reply::done, m_versions.back().version };
    }

    struct version_kept {
        std::uint64_t version;
        std::string body;
    };

    kernel::random_hook m_random;
    time_point m_now;
    std::multimap<time_point, std::function<void()>> m_events;
    std::vector<version_kept> m_versions;
    bool m_isStoreUnavailable { false };
    std::array<std::deque<std::size_t>, 3> m_queuedCommands;
    std::array<std::uint64_t, 3> m_lastSeenVersions {};
};

}

TEST_GROUP(ConfigurationWrites) {};

TEST(ConfigurationWrites, StoredObjectEqualsCommittedCommandsAppliedInOrder)
{
    std::map<std::string, int> outcomes;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        write_simulation simulation { seed };
        simulation.run();
        auto expectedFields = toFieldValues(simulation.firstObject().declaration);
        for (auto const command : simulation.committedCommands)
            expectedFields[simulation.commands[command].field] = simulation.commands[command].value;
        CHECK(expectedFields == toFieldValues(simulation.finalObject().declaration));
        for (std::size_t index = 0; index < simulation.commands.size(); ++index) {
            auto const& result = simulation.commands[index].result;
            CHECK(result.has_value());
            auto const commitCount = std::count(simulation.committedCommands.begin(), simulation.committedCommands.end(), index);
            bool const isUnknown = !*result && result->error().kind == errors::error_kind::outcome_unknown;
            auto const expectedCount = *result && (*result)->hasChangedObject ? 1 : 0;
            if (isUnknown ? commitCount > 1 : commitCount != expectedCount)
                FAIL(("seed " + std::to_string(seed) + " command " + std::to_string(index) + " was committed " + std::to_string(commitCount) + " times").c_str());
            ++outcomes[*result ? "accepted" : std::string { propertiesOf(result->error().kind).name }];
        }
    }
    // Every outcome must occur in at least one schedule.
    for (auto const* outcome : { "accepted", "conflict", "outcome_unknown", "store_unavailable" })
        CHECK(outcomes[outcome] > 0);
    for (auto const& [outcome, count] : outcomes)
        UT_PRINT((outcome + " " + std::to_string(count)).c_str());
}

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
class write_session {
public:
    explicit write_session(std::uint64_t seed)
        : m_random(kernel::makeSeededRandom(seed))
    {
        model::service_declaration service { .name = "a", .partner = "suva", .shardCount = 2 };
        for (auto const* target : { "t0", "t1", "t2", "t3" })
            service.targets.push_back({ target, { "127.0.0.1", 1 } });
        m_versions.push_back({ 1, formatServiceObject({ "a", service, {} }) });
    }

    void run()
    {
        for (std::size_t daemon = 0; daemon < m_queues.size(); ++daemon) {
            for (int each = 0; each < 25; ++each)
                at(pick(20'000), [this, daemon] { submit(daemon); });
        }
        for (int outage = 0; outage < 3; ++outage) {
            auto const begin = pick(20'000);
            at(begin, [this] { m_isOut = true; });
            at(begin + pick(4'000), [this] { m_isOut = false; });
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
    std::vector<std::size_t> committed;

    service_object finalObject() const { return *parseServiceObject(m_versions.back().body); }
    service_object firstObject() const { return *parseServiceObject(m_versions.front().body); }

private:
    struct running_write {
        std::size_t daemon;
        std::size_t command;
        object_write machine;
    };

    std::uint64_t pick(std::uint64_t below) { return m_random() % below; }
    void at(std::uint64_t delay, std::function<void()> work) { m_events.emplace(m_now + milliseconds { delay }, std::move(work)); }

    void submit(std::size_t daemon)
    {
        auto const target = "t" + std::to_string(pick(4));
        auto const number = std::to_string(1 + pick(60));
        bool const isDrain = pick(2) == 0;
        std::array<operator_command, 3> const kinds { {
            { (isDrain ? "drain target " : "undrain target ") + target + " of a", "target " + target + " draining", isDrain ? "yes" : "no", {} },
            { "service a { hedge " + number + "% }", "hedge", number + "%", {} },
            { "service a { group " + number + " }", "group", number, {} },
        } };
        commands.push_back(kinds[pick(kinds.size())]);
        m_queues[daemon].push_back(commands.size() - 1);
        if (m_queues[daemon].size() == 1)
            startNext(daemon);
    }

    void startNext(std::size_t daemon)
    {
        if (m_queues[daemon].empty())
            return;
        auto const command = m_queues[daemon].front();
        object_write_request request { groupByObject(*language::parseStatements(commands[command].text)).front(), "suva", "d" + std::to_string(daemon), command, m_seen[daemon], m_now + milliseconds { 3000 } };
        auto const running = std::make_shared<running_write>(running_write { daemon, command, object_write { std::move(request), m_random } });
        perform(running, running->machine.start());
    }

    void perform(std::shared_ptr<running_write> const& running, write_action const& action)
    {
        if (std::holds_alternative<read_object>(action)) {
            read(running);
        } else if (auto const* write = std::get_if<write_object>(&action)) {
            this->write(running, *write);
        } else if (auto const* wait = std::get_if<wait_until>(&action)) {
            m_events.emplace(wait->at, [this, running] { perform(running, running->machine.handleTimer()); });
        } else {
            finish(*running, std::get<write_settled>(action).result);
        }
    }

    void finish(running_write const& running, errors::error_or<accepted_write> const& result)
    {
        commands[running.command].result = result;
        if (result) {
            CHECK(result->version >= m_seen[running.daemon]);
            m_seen[running.daemon] = result->version;
        }
        m_queues[running.daemon].pop_front();
        startNext(running.daemon);
    }

    void read(std::shared_ptr<running_write> const& running)
    {
        bool const isLost = m_isOut || pick(10) == 0;
        bool const isStale = pick(10) == 0;
        at(isLost ? 200 : 1 + pick(20), [this, running, isLost, isStale] {
            auto const& object = isStale ? m_versions[pick(m_versions.size())] : m_versions.back();
            read_result const found { isLost ? store_reply::unknown : store_reply::done, object.version, object.body };
            perform(running, running->machine.handle(found, m_now));
        });
    }

    void write(std::shared_ptr<running_write> const& running, write_object const& wanted)
    {
        auto const fate = m_isOut ? 0 : pick(6);
        bool const isApplied = fate != 0;
        bool const isReplyLost = fate < 3;
        auto const delay = fate == 2 ? 50 + pick(800) : 1 + pick(20);
        auto const reply = [this, running](write_result const& result) { perform(running, running->machine.handle(result, m_now)); };
        if (isApplied) {
            at(delay, [this, running, wanted, reply, isReplyLost] {
                auto const result = apply(wanted, running->command);
                if (!isReplyLost)
                    reply(result);
            });
        }
        if (isReplyLost)
            at(200, [reply] { reply({ store_reply::unknown, 0 }); });
    }

    write_result apply(write_object const& wanted, std::size_t command)
    {
        auto const present = m_versions.back().version;
        if (present != wanted.expectedVersion)
            return { store_reply::precondition_failed, 0 };
        m_versions.push_back({ present + 1 + pick(3), wanted.body });
        committed.push_back(command);
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
    bool m_isOut { false };
    std::array<std::deque<std::size_t>, 3> m_queues;
    std::array<std::uint64_t, 3> m_seen {};
};

}

TEST_GROUP(ConfigurationWrites) {};

TEST(ConfigurationWrites, StoredObjectEqualsCommittedCommandsAppliedInOrder)
{
    std::map<std::string, int> outcomes;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        write_session session { seed };
        session.run();
        auto naive = fieldsOf(session.firstObject().declaration);
        for (auto const command : session.committed)
            naive[session.commands[command].field] = session.commands[command].value;
        CHECK(naive == fieldsOf(session.finalObject().declaration));
        for (std::size_t index = 0; index < session.commands.size(); ++index) {
            auto const& result = session.commands[index].result;
            CHECK(result.has_value());
            auto const times = std::count(session.committed.begin(), session.committed.end(), index);
            bool const isUnknown = !*result && result->error().kind == errors::error_kind::outcome_unknown;
            auto const wanted = *result && (*result)->isChanged ? 1 : 0;
            if (isUnknown ? times > 1 : times != wanted)
                FAIL(("seed " + std::to_string(seed) + " command " + std::to_string(index) + " was committed " + std::to_string(times) + " times").c_str());
            ++outcomes[*result ? "accepted" : std::string { answerFor(result->error().kind).name }];
        }
    }
    // Every outcome must occur in at least one schedule.
    for (auto const* outcome : { "accepted", "conflict", "outcome_unknown", "store_unavailable" })
        CHECK(outcomes[outcome] > 0);
    for (auto const& [outcome, count] : outcomes)
        UT_PRINT((outcome + " " + std::to_string(count)).c_str());
}

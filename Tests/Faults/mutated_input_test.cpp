// A daemon as a process, and what comes from outside with values, types, lengths and order changed. ZINNIALEDGE_MUTATION_SEED and
// ZINNIALEDGE_MUTATION_ROUNDS choose another run than the one of CI; Meta/mutate runs it with the sanitizers.

#include "Kernel/clock.h"
#include "Tests/Support/http_call.h"
#include "Tests/Support/process_watch.h"
#include "Tests/Support/small_edge_fleet.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <cstdlib>
#include <thread>

// CppUTest redefines `new`, so its header comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace zinnialedge;
using namespace std::chrono_literals;
using tests::replySuccessfully;
using tests::scripted_reply;
using tests::small_edge_fleet;
using tests::waitUntil;

namespace {

constexpr std::size_t maximumMegabytes = 160;
constexpr std::size_t maximumSockets = 500;
constexpr unsigned inputsPerRound = 12;

unsigned numberFromEnvironment(char const* name, unsigned fallback)
{
    auto const* const text = std::getenv(name);
    return text ? static_cast<unsigned>(std::strtoul(text, nullptr, 10)) : fallback;
}

/// Changes valid texts. All runs with one seed make the same changes.
class mutator {
public:
    explicit mutator(std::uint64_t seed)
        : m_random(kernel::makeSeededRandom(seed))
    {
    }

    std::uint64_t pick(std::size_t count) { return m_random() % count; }

    std::string mutate(std::string text)
    {
        for (auto changes = 1 + pick(3); changes > 0 && !text.empty(); --changes)
            change(text);
        return text;
    }

private:
    void change(std::string& text)
    {
        static std::vector<std::string> const oddValues { "0", "-1", "0.5", "2.0", "1e300", "-1e300", "1e999", "4294967296", "9223372036854775807", "18446744073709551616", "\"\"", "null", "[]", "{}", "true", std::string(5000, '9'), "[[[[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]]]]" };
        auto const start = pick(text.size());
        auto const length = 1 + pick(std::min<std::size_t>(text.size() - start, 40));
        switch (pick(5)) {
        case 0:
            replaceNumber(text, start, oddValues[pick(oddValues.size())]);
            break;
        case 1:
            text.erase(start, length);
            break;
        case 2:
            text.insert(start, text.substr(pick(text.size()), length));
            break;
        case 3:
            text[start] = static_cast<char>(m_random());
            break;
        default:
            text.insert(start, std::string(1 + pick(20'000), static_cast<char>(m_random())));
            break;
        }
    }

    /// Replaces the first number at or after the position.
    static void replaceNumber(std::string& text, std::size_t start, std::string const& value)
    {
        auto const first = text.find_first_of("0123456789", start);
        if (first == std::string::npos)
            return;
        auto const end = text.find_first_not_of("0123456789.", first);
        text.replace(first, end == std::string::npos ? std::string::npos : end - first, value);
    }

    kernel::random_hook m_random;
};

}

TEST_GROUP(MutatedInput)
{
    mutator changes { numberFromEnvironment("ZINNIALEDGE_MUTATION_SEED", 1) };
    std::atomic<bool> isInTrouble { false };
    std::mutex mutex;

    scripted_reply reply(std::string const& request)
    {
        auto made = replySuccessfully(request);
        if (!isInTrouble)
            return made;
        std::scoped_lock const lock { mutex };
        made.bytes = changes.mutate(std::move(made.bytes));
        made.shouldClose = changes.pick(2) == 0;
        return made;
    }

    std::string mutate(std::string text)
    {
        std::scoped_lock const lock { mutex };
        return changes.mutate(std::move(text));
    }

    small_edge_fleet::reply_hook hook = [this](std::string const& request) { return reply(request); };
    small_edge_fleet fleet { 1, true, hook, hook };
    std::uint64_t version { 1 };
    boost::json::object const soundConfiguration = fleet.store().find("config", "main")->as_object();

    /// Writes the next version of the configuration. Its number is not changed, since later ones would seem old.
    void declare(bool isSound)
    {
        auto content = soundConfiguration;
        content.erase("version");
        auto const text = boost::json::serialize(content);
        fleet.store().putText("config", "main", "{\"version\":" + std::to_string(++version) + "," + (isSound ? text : mutate(text)).substr(1));
    }

    void registerMutatedLeaf()
    {
        auto const entry = boost::json::serialize(*fleet.store().find("servers", "desk0"));
        fleet.store().putText("servers", "odd" + std::to_string(changes.pick(4)), mutate(entry));
    }

    void sendMutatedRequest()
    {
        auto const path = changes.pick(2) == 0 ? "/single/x" : "/gather/x";
        auto const request = mutate(std::string { "POST " } + path + " HTTP/1.1\r\nHost: host\r\nZinnialedge-Attempt-Id: m\r\nZinnialedge-Deadline-Ms: 300\r\nX-Api-Key: key\r\nContent-Length: 5\r\n\r\norder");
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket socket { context };
        boost::system::error_code ignored;
        socket.connect({ boost::asio::ip::make_address(fleet.daemon(0).callers.address), fleet.daemon(0).callers.port }, ignored);
        boost::asio::write(socket, boost::asio::buffer(request), ignored);
        (void)fleet.get(0, path, "n", 300);
    }

    bool isServed()
    {
        return fleet.get(0, "/single/a", "a").status == 200 && fleet.get(0, "/gather/a", "b").status == 200;
    }
};

// Guards against: an input that ends a daemon, stops its event loop, or takes its memory or descriptors.
TEST(MutatedInput, TheDaemonLivesAndServesAfterwards)
{
    auto const processId = fleet.daemon(0).process->id();
    tests::process_watch const watch { processId };
    for (auto rounds = numberFromEnvironment("ZINNIALEDGE_MUTATION_ROUNDS", 4); rounds > 0; --rounds) {
        isInTrouble = true;
        for (unsigned input = 0; input < inputsPerRound; ++input) {
            declare(changes.pick(2) == 0);
            registerMutatedLeaf();
            sendMutatedRequest();
            // The daemon reads changes of the store in batches.
            std::this_thread::sleep_for(100ms);
        }
        isInTrouble = false;
        declare(true);
        for (auto const* const name : { "odd0", "odd1", "odd2", "odd3" })
            fleet.removeLeaf(name);
        auto const left = std::to_string(rounds) + " rounds were left";
        CHECK_TEXT(!fleet.daemon(0).process->waitForExit(0ms), ("the process has ended; " + left).c_str());
        CHECK_TEXT(waitUntil([&] { return isServed(); }, 20s), ("no answer; " + left).c_str());
    }
    CHECK(watch.peakSocketCount() < maximumSockets);
    // The sanitizers take memory of their own.
    if (!std::getenv("ZINNIALEDGE_IS_SANITIZED"))
        CHECK(tests::peakMemoryMegabytes(processId) < maximumMegabytes);
}

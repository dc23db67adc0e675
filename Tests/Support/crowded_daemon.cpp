#include "Tests/Support/crowded_daemon.h"

#include "Kernel/verify.h"
#include "Tests/Support/http_call.h"
#include "Tests/Support/small_edge_fleet.h"
#include <boost/json.hpp>
#include <future>
#include <sys/resource.h>

namespace zinnialedge::tests {

using namespace std::chrono_literals;

static constexpr int statusOk = 200;
/// Time limits of the configuration that no test waits for.
static constexpr int longTimeMs = 60'000;
static constexpr std::size_t shardCount = 4;
static constexpr std::size_t deskLeafCount = 2;

static void limitDescriptors(int processId)
{
    ::rlimit const limit { crowded_daemon::machineDescriptors, crowded_daemon::machineDescriptors };
    auto const result = ::prlimit(processId, RLIMIT_NOFILE, &limit, nullptr);
    VERIFY(result == 0);
}

crowded_daemon::crowded_daemon(reply_hook const& deskReply, reply_hook const& shardReply)
    : edge_fleet(1)
{
    replaceSetting(0, "capacity", { { "processor", 1 }, { "link_mbps", 1000 }, { "memory_mb", machineMegabytes }, { "descriptors", machineDescriptors } });
    setConfigurationHook([](boost::json::object& configuration) {
        configuration["limits"] = { { "max_header_bytes", maximumHeaderBytes }, { "max_body_bytes", maximumBodyBytes }, { "header_timeout_ms", longTimeMs }, { "idle_timeout_ms", longTimeMs } };
    });
    m_leafs.reserve(deskLeafCount + shardCount);
    for (std::size_t number = 0; number < deskLeafCount + shardCount; ++number) {
        bool const isDesk = number < deskLeafCount;
        auto const& hook = isDesk ? deskReply : shardReply;
        m_leafs.push_back(std::make_unique<scripted_leaf>(hook ? hook : replySuccessfully));
        registerLeaf("leaf" + std::to_string(number), isDesk ? "desk" : "shard" + std::to_string(number - deskLeafCount), m_leafs.back()->place());
    }
    declare(1, shardCount, true);
    start(0);
    VERIFY(waitUntilReady());
    limitDescriptors(processId());
}

std::vector<std::string> crowded_daemon::findSilentPorts()
{
    struct port_request {
        std::string port;
        model::endpoint endpoint;
        std::string target;
        /// Zero for any status.
        int expectedStatus { statusOk };
    };
    std::vector<port_request> const requests {
        { "callers", callers(), "/single/ordinary" },
        { "directory", directory(), "/zinnialedge/resolve?name=host&region=region&zone=here" },
        { "readiness", readiness(), "/zinnialedge/readiness" },
        { "operators", operators(), "/metrics" },
        { "peers", peers(), "/fleet/snapshot" },
        // A call of a daemon that is not a member is answered, served or not.
        { "relays", relays(), "/single/ordinary", 0 },
    };
    auto const isAnswered = [](port_request const& each) {
        wire::http_request const request { "GET", each.target, {}, { { "Host", "host" }, { "Zinnialedge-Attempt-Id", "ordinary" }, { "Zinnialedge-Deadline-Ms", "2000" }, { "X-Relay-Attempt", "ordinary" }, { "X-Relay-Patience-Ms", "2000" }, { "X-Relay-Minimum-Version", "1" } } };
        return waitUntil([&] {
            auto const answer = callHttp(each.endpoint, request, 3s);
            return answer && (each.expectedStatus == 0 || answer->status == each.expectedStatus);
        },
            20s);
    };
    std::vector<std::future<bool>> answers;
    answers.reserve(requests.size());
    for (auto const& each : requests)
        answers.push_back(std::async(std::launch::async, isAnswered, each));
    std::vector<std::string> silent;
    for (std::size_t index = 0; index < requests.size(); ++index) {
        if (!answers[index].get())
            silent.push_back(requests[index].port);
    }
    return silent;
}

crowd_outcome crowded_daemon::watch(std::function<void()> const& work)
{
    crowd_outcome outcome;
    {
        process_watch const watch { processId() };
        work();
        outcome.peakSocketCount = watch.peakSocketCount();
    }
    outcome.peakMemoryMegabytes = peakMemoryMegabytes(processId());
    outcome.isAlive = !daemon(0).process->waitForExit(0ms);
    if (outcome.isAlive)
        outcome.silentPortsAfterwards = findSilentPorts();
    return outcome;
}

crowd_outcome crowded_daemon::meet(std::vector<crowd_plan> const& plans)
{
    std::vector<std::string> silentBeside;
    auto outcome = watch([&] {
        std::vector<std::unique_ptr<crowd>> crowds;
        crowds.reserve(plans.size());
        for (auto const& plan : plans)
            crowds.push_back(std::make_unique<crowd>(plan));
        for (auto const& each : crowds)
            each->waitUntilSettled();
        silentBeside = findSilentPorts();
    });
    outcome.silentPortsBeside = std::move(silentBeside);
    return outcome;
}

}

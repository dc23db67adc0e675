#include "Tests/Soak/soak_run.h"

namespace zinnialedge::tests::soak {

using namespace std::chrono_literals;

/// One in this many requests of a caller is marked and ends the leaf that runs it.
static constexpr std::size_t markedRequestInterval = 25;

void soak_run::callLoop(std::size_t number)
{
    auto const random = kernel::makeSeededRandom(FLAGS_seed * 100 + number);
    // Every second caller reuses its connections; the others open a connection for each request.
    bool const isReusingConnections = number % 2 == 0;
    std::vector<std::unique_ptr<persistent_connection>> connections;
    connections.reserve(FLAGS_daemons);
    for (std::size_t index = 0; index < FLAGS_daemons; ++index)
        connections.push_back(std::make_unique<persistent_connection>(m_fleet.daemon(index).callers));
    auto const sendRequest = [&](std::size_t index, std::string const& bytes) {
        auto const sentAt = std::chrono::steady_clock::now();
        auto answer = isReusingConnections ? connections[index]->ask(bytes) : sendOverNewConnection(m_fleet.daemon(index).callers, bytes);
        // Marked requests are meant to fail.
        if (bytes.find("/poison") == std::string::npos)
            m_linkFaults.recordAnswer(index, sentAt, answer.status == 200);
        return answer;
    };
    for (std::size_t count = 0; !m_shouldStopCallers; ++count) {
        auto const index = random() % FLAGS_daemons;
        auto const suffix = std::to_string(number) + "-" + std::to_string(count);
        if (count % markedRequestInterval == 0 && m_areMarkedRequestsSent) {
            // Attempts differ in their queries.
            auto const& target = m_markedRequests[random() % m_markedRequests.size()]->target() + (random() % 3 == 0 ? "?page=" + suffix : std::string {});
            bool const isPost = target.starts_with("/single/");
            auto const id = (isPost ? "once-marked" : "marked") + suffix;
            m_checker.checkMarked(id, sendRequest(index, isPost ? formatPostRequest(target, id, "order") : formatGetRequest(target, id)));
        } else if (count % 2 == 0)
            m_checker.checkSingle("once" + suffix, sendRequest(index, formatPostRequest("/single/a", "once" + suffix, "order")));
        else
            m_checker.checkGather("all" + suffix, sendRequest(index, formatGetRequest("/gather/a", "all" + suffix)));
        std::this_thread::sleep_for(5ms);
    }
}

}

#include "Tests/Soak/soak_run.h"

namespace zinnialedge::tests::soak {

using namespace std::chrono_literals;

/// One in this many requests of a caller is marked and ends the leaf that runs it.
static constexpr std::size_t markedRequestInterval = 25;

/// One in this many single requests uses the public route, if there is one.
static constexpr std::uint64_t publicRouteInterval = 5;

static std::string addHeaders(std::string request, std::string const& headers)
{
    return request.insert(request.find("\r\n") + 2, headers);
}

void soak_run::pressLoop(std::size_t number)
{
    auto const random = kernel::makeSeededRandom(FLAGS_seed * 100 + 70 + number);
    for (std::size_t count = 0; !m_shouldStopCallers; ++count) {
        std::this_thread::sleep_for(5ms);
        if (!m_watches.tenants.areDeclared())
            continue;
        auto const index = random() % FLAGS_daemons;
        bool const isPost = count % 2 == 0;
        auto const id = (isPost ? "once-pressed" : "pressed") + std::to_string(number) + "-" + std::to_string(count);
        auto const access = m_watches.tenants.chooseAccess(id, index, false, random, quota_watch::key);
        auto const answer = sendOverNewConnection(m_fleet.daemon(index).callers, addHeaders(isPost ? formatPostRequest("/single/a", id, "order") : formatGetRequest("/gather/a", id), access.headers));
        m_watches.checker.checkUncounted(id, answer);
        m_watches.tenants.checkAnswer(id, answer.status);
        m_watches.quotas.recordAnswer(answer.status);
    }
}

void soak_run::callLoop(std::size_t number)
{
    auto const random = kernel::makeSeededRandom(FLAGS_seed * 100 + number);
    // Every second caller reuses its connections; the others open a connection for each request.
    bool const isReusingConnections = number % 2 == 0;
    std::vector<std::unique_ptr<persistent_connection>> connections;
    connections.reserve(FLAGS_daemons);
    for (std::size_t index = 0; index < FLAGS_daemons; ++index)
        connections.push_back(std::make_unique<persistent_connection>(m_fleet.daemon(index).callers));
    auto const accessRandom = kernel::makeSeededRandom(FLAGS_seed * 100 + 50 + number);
    bool isAccepted = true;
    auto const sendRequest = [&](std::size_t index, std::string const& id, std::string bytes) {
        tenant_watch::request_access access;
        if (FLAGS_tenants)
            access = m_watches.tenants.chooseAccess(id, index, bytes.starts_with("POST /open/"), accessRandom);
        isAccepted = access.isAccepted;
        bytes = addHeaders(std::move(bytes), access.headers);
        auto const sentAt = std::chrono::steady_clock::now();
        auto const abruptFaults = abruptFaultsOf(index);
        auto answer = isReusingConnections ? connections[index]->ask(bytes) : sendOverNewConnection(m_fleet.daemon(index).callers, bytes);
        m_watches.tenants.checkAnswer(id, answer.status);
        if (abruptFaults % 2 == 0 && abruptFaults == abruptFaultsOf(index) && areDaemonsUpgraded())
            m_watches.checker.checkEnd(id, answer, std::chrono::steady_clock::now() - sentAt);
        // Marked requests and those without a valid key are meant to fail.
        if (isAccepted && bytes.find("/poison") == std::string::npos)
            m_linkFaults.recordAnswer(index, sentAt, answer.status == 200);
        return answer;
    };
    for (std::size_t count = 0; !m_shouldStopCallers; ++count) {
        auto const index = random() % FLAGS_daemons;
        auto const suffix = std::to_string(number) + "-" + std::to_string(count);
        if (count % markedRequestInterval == 0 && m_areMarkedRequestsSent) {
            // Attempts differ in their queries.
            auto const& target = m_watches.marked[random() % m_watches.marked.size()]->target() + (random() % 3 == 0 ? "?page=" + suffix : std::string {});
            bool const isPost = target.starts_with("/single/");
            auto const id = (isPost ? "once-marked" : "marked") + suffix;
            m_watches.checker.checkMarked(id, sendRequest(index, id, isPost ? formatPostRequest(target, id, "order") : formatGetRequest(target, id)));
        } else {
            bool const isPost = count % 2 == 0;
            auto const id = (isPost ? "once" : "all") + suffix;
            bool const isPublic = isPost && m_watches.tenants.areDeclared() && accessRandom() % publicRouteInterval == 0;
            auto const answer = sendRequest(index, id, isPost ? formatPostRequest(isPublic ? "/open/a" : "/single/a", id, "order") : formatGetRequest("/gather/a", id));
            if (!isAccepted)
                m_watches.checker.checkUncounted(id, answer);
            else
                isPost ? m_watches.checker.checkSingle(id, answer) : m_watches.checker.checkGather(id, answer);
        }
        std::this_thread::sleep_for(5ms);
    }
}

}

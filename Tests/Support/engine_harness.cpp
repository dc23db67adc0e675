#include "Tests/Support/engine_harness.h"

#include <utility>

namespace zinnialedge::tests {

using namespace forwarding;

static constexpr std::uint64_t randomSeed = 7;
static constexpr int statusOk = 200;
static constexpr int statusUnavailable = 503;

engine_harness::engine_harness(engine_settings settings)
    : engine(std::move(settings), makeHooks(), kernel::makeSeededRandom(randomSeed), m_now)
{
    // The slack of the extra call budget grows during the first window after a start. 20 s skip this window.
    m_now += std::chrono::seconds { 20 };
}

engine_settings engine_harness::defaultSettings()
{
    engine_settings settings;
    settings.dataCentre = "here";
    return settings;
}

route engine_harness::singleRoute(bool isRepeatable)
{
    route declaredRoute;
    declaredRoute.name = "single";
    declaredRoute.host = "host";
    declaredRoute.pathPrefix = "/single/";
    declaredRoute.isRepeatable = isRepeatable;
    declaredRoute.maximumAttempts = 2;
    declaredRoute.objective = std::chrono::milliseconds { 400 };
    declaredRoute.timeout = std::chrono::milliseconds { 6000 };
    declaredRoute.services = { { "desk", 1 } };
    return declaredRoute;
}

route engine_harness::gatherRoute(std::size_t shards, double minimumCoverage)
{
    route declaredRoute;
    declaredRoute.name = "gather";
    declaredRoute.host = "host";
    declaredRoute.pathPrefix = "/gather/";
    declaredRoute.isRepeatable = true;
    declaredRoute.maximumAttempts = 2;
    declaredRoute.objective = std::chrono::milliseconds { 100 };
    declaredRoute.timeout = std::chrono::milliseconds { 1500 };
    declaredRoute.gather.recordLimit = 50;
    declaredRoute.gather.minimumCoverage = minimumCoverage;
    for (std::size_t shard = 0; shard < shards; ++shard)
        declaredRoute.gather.shards.push_back("shard" + std::to_string(shard));
    return declaredRoute;
}

void engine_harness::declare(std::uint64_t version, std::vector<route> routes, std::vector<tenant> tenants)
{
    engine.setRoutes(std::make_shared<route_table const>(route_declarations { version, std::move(routes), {}, {}, std::move(tenants) }), m_now);
}

void engine_harness::registerLeafs(std::vector<std::string> const& services, std::size_t perService)
{
    m_leafs.clear();
    for (auto const& service : services) {
        for (std::size_t index = 0; index < perService; ++index)
            m_leafs.push_back({ service + "/" + std::to_string(index), 1, service, { "10.0.0.1", 80 }, index == 0 ? "here" : "there", 2, false, {} });
    }
    engine.setLeafs(m_leafs, m_now);
}

void engine_harness::restartLeaf(std::string const& id)
{
    for (auto& each : m_leafs)
        each.startedAt += each.id == id ? 1 : 0;
    engine.setLeafs(m_leafs, m_now);
}

engine_hooks engine_harness::makeHooks()
{
    engine_hooks hooks;
    hooks.sendCall = [this](leaf_call const& call) {
        if (call.isProbe) {
            m_probes.push_back(call);
            m_openProbes.push_back(call.number);
            if (m_areProbesConnected)
                m_connectedProbes.push_back(call.number);
            return;
        }
        m_openCalls[call.number] = call;
        if (m_areCallsConnected)
            engine.handleCallConnected(call.number, m_now);
    };
    hooks.cancelCall = [this](call_number number, call_failure) {
        if (std::erase(m_openProbes, number) > 0)
            m_failedProbes.push_back(number);
        else
            m_cancelledCalls.push_back(number);
    };
    hooks.shareUsage = [this](std::vector<allowances::addressed_report> const& reports) { m_usageReports.insert(m_usageReports.end(), reports.begin(), reports.end()); };
    hooks.reportDaemonWithoutLeafs = [this](model::endpoint const& daemon) { m_markedDaemons.push_back(daemon); };
    hooks.cancelUndeliveredCall = [this](call_number number) { m_checkedCalls.push_back(number); };
    hooks.sendAnswer = [this](request_token token, final_answer answer) { m_answers[token] = std::move(answer); };
    return hooks;
}

request_token engine_harness::arrive(std::string const& path, std::chrono::milliseconds timeout)
{
    return arriveChanged(
        path, [](auto&) { }, timeout);
}

request_token engine_harness::sendRelayedRequest(std::string const& path, relayed_request relayed)
{
    return arriveChanged(path, [&](auto& request) { request.relayed = std::move(relayed); });
}

request_token engine_harness::sendDetouredRequest(std::string const& path, detoured_request detoured)
{
    return arriveChanged(path, [&](auto& request) { request.detoured = detoured; });
}

request_token engine_harness::arriveChanged(std::string const& path, request_change const& change, std::chrono::milliseconds timeout)
{
    caller_request request;
    request.method = "GET";
    request.target = path;
    request.host = "host";
    request.attemptId = "attempt-" + std::to_string(m_lastToken + 1);
    request.timeLimit = timeout;
    request.roundTripTime = m_transitTime;
    change(request);
    engine.handleRequest(++m_lastToken, std::move(request), m_now);
    return m_lastToken;
}

void engine_harness::pass(std::chrono::milliseconds elapsed)
{
    auto const end = m_now + elapsed;
    while (engine.nextTimerTime() && *engine.nextTimerTime() <= end) {
        m_now = std::max(m_now, *engine.nextTimerTime());
        engine.runTimers(m_now);
        answerProbes();
    }
    m_now = end;
    answerProbes();
}

void engine_harness::answerProbes()
{
    for (auto const number : std::exchange(m_failedProbes, {}))
        engine.handleCallEnd(number, tl::unexpected(call_failure::timed_out), m_now);
    for (auto const number : std::exchange(m_connectedProbes, {}))
        engine.handleCallConnected(number, m_now);
    if (!m_areProbesAnswered)
        return;
    for (auto const number : std::exchange(m_openProbes, {})) {
        leaf_reply leafReply;
        leafReply.status = statusOk;
        leafReply.isOnNewConnection = true;
        engine.handleCallEnd(number, std::move(leafReply), m_now);
    }
}

void engine_harness::reply(call_number number, leaf_reply leafReply)
{
    leafReply.attemptId = m_openCalls.at(number).request->attemptId;
    m_openCalls.erase(number);
    engine.handleCallEnd(number, std::move(leafReply), m_now);
}

void engine_harness::succeed(call_number number, std::string body)
{
    leaf_reply leafReply;
    leafReply.status = statusOk;
    leafReply.seal = "seal-" + m_openCalls.at(number).leafId;
    leafReply.body = std::move(body);
    reply(number, std::move(leafReply));
}

void engine_harness::shed(call_number number)
{
    leaf_reply leafReply;
    leafReply.status = statusUnavailable;
    leafReply.wasNotRun = true;
    reply(number, std::move(leafReply));
}

void engine_harness::fail(call_number number, call_failure failure)
{
    m_openCalls.erase(number);
    engine.handleCallEnd(number, tl::unexpected(failure), m_now);
}

std::vector<leaf_call> engine_harness::openCalls(std::string const& service) const
{
    std::vector<leaf_call> calls;
    for (auto const& [number, call] : m_openCalls) {
        if (service.empty() || call.leafId.starts_with(service + "/"))
            calls.push_back(call);
    }
    return calls;
}

final_answer const* engine_harness::answerOf(request_token token) const
{
    auto const found = m_answers.find(token);
    return found == m_answers.end() ? nullptr : &found->second;
}

}

#include "Tests/Support/engine_harness.h"

namespace zinnialedge::tests {

using namespace forwarding;

static constexpr std::uint64_t harnessSeed = 7;
static constexpr int statusOk = 200;
static constexpr int statusUnavailable = 503;

engine_harness::engine_harness(engine_settings settings)
    : engine(std::move(settings), makeHooks(), kernel::makeSeededRandom(harnessSeed), m_now)
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
    route made;
    made.name = "single";
    made.host = "host";
    made.pathPrefix = "/single/";
    made.isRepeatable = isRepeatable;
    made.attempts = 2;
    made.objective = std::chrono::milliseconds { 400 };
    made.timeout = std::chrono::milliseconds { 6000 };
    made.services = { { "desk", 1 } };
    return made;
}

route engine_harness::gatherRoute(std::size_t shards, double leastShare)
{
    route made;
    made.name = "gather";
    made.host = "host";
    made.pathPrefix = "/gather/";
    made.isRepeatable = true;
    made.attempts = 2;
    made.objective = std::chrono::milliseconds { 100 };
    made.timeout = std::chrono::milliseconds { 1500 };
    made.gather.recordLimit = 50;
    made.gather.leastShare = leastShare;
    for (std::size_t shard = 0; shard < shards; ++shard)
        made.gather.shards.push_back("shard" + std::to_string(shard));
    return made;
}

void engine_harness::declare(std::uint64_t version, std::vector<route> routes)
{
    engine.setRoutes(std::make_shared<route_table const>(route_declarations { version, std::move(routes), {}, {} }), m_now);
}

void engine_harness::registerLeafs(std::vector<std::string> const& services, std::size_t perService)
{
    std::vector<leaf_registration> leafs;
    for (auto const& service : services) {
        for (std::size_t index = 0; index < perService; ++index)
            leafs.push_back({ service + "/" + std::to_string(index), 1, service, { "10.0.0.1", 80 }, index == 0 ? "here" : "there", 2, false, {} });
    }
    engine.setLeafs(leafs, m_now);
}

engine_hooks engine_harness::makeHooks()
{
    engine_hooks hooks;
    hooks.send = [this](leaf_call const& call) { m_open[call.number] = call; };
    hooks.cancel = [this](call_number number, call_failure) { m_cancelled.push_back(number); };
    hooks.answer = [this](request_token token, final_answer answer) { m_answers[token] = std::move(answer); };
    return hooks;
}

request_token engine_harness::arrive(std::string const& path, std::chrono::milliseconds patience)
{
    return take(path, patience, std::nullopt);
}

request_token engine_harness::arriveRelayed(std::string const& path, relayed_request relayed)
{
    return take(path, std::chrono::milliseconds { 1500 }, std::move(relayed));
}

request_token engine_harness::take(std::string const& path, std::chrono::milliseconds patience, std::optional<relayed_request> relayed)
{
    caller_request request;
    request.method = "GET";
    request.target = path;
    request.host = "host";
    request.attemptId = "attempt-" + std::to_string(m_lastToken + 1);
    request.patience = patience;
    request.transit = m_transit;
    request.relayed = std::move(relayed);
    engine.arrive(++m_lastToken, std::move(request), m_now);
    return m_lastToken;
}

void engine_harness::pass(std::chrono::milliseconds span)
{
    auto const end = m_now + span;
    while (engine.nextTimer() && *engine.nextTimer() <= end) {
        m_now = std::max(m_now, *engine.nextTimer());
        engine.runTimers(m_now);
    }
    m_now = end;
}

void engine_harness::reply(call_number number, leaf_reply given)
{
    given.attemptId = m_open.at(number).request->attemptId;
    m_open.erase(number);
    engine.callEnded(number, std::move(given), m_now);
}

void engine_harness::succeed(call_number number, std::string body)
{
    leaf_reply given;
    given.status = statusOk;
    given.seal = "seal-" + m_open.at(number).leafId;
    given.body = std::move(body);
    reply(number, std::move(given));
}

void engine_harness::shed(call_number number)
{
    leaf_reply given;
    given.status = statusUnavailable;
    given.isNotRun = true;
    reply(number, std::move(given));
}

void engine_harness::fail(call_number number, call_failure failure)
{
    m_open.erase(number);
    engine.callEnded(number, tl::unexpected(failure), m_now);
}

std::vector<leaf_call> engine_harness::openCalls(std::string const& service) const
{
    std::vector<leaf_call> calls;
    for (auto const& [number, call] : m_open) {
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

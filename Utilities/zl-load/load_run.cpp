#include "Utilities/zl-load/load_run.h"

#include "Libraries/zinnialedge/wire/caller_codec.h"
#include "Utilities/zl-load/answer_check.h"
#include <boost/json.hpp>

namespace zinnialedge::utilities::load {

namespace json = boost::json;

static constexpr std::chrono::milliseconds requestTimeout { 10'000 };
static constexpr std::chrono::milliseconds directoryTimeout { 1000 };
static constexpr std::size_t maximumRetainedFaults = 20;
static constexpr int statusOk = 200;
static constexpr unsigned percent = 100;
static constexpr unsigned coverageStep = 10;

load_run::load_run(load_plan plan)
    : m_plan(std::move(plan))
    , m_random(m_plan.seed)
{
}

load_result load_run::run()
{
    m_result.streams.resize(m_plan.streams.size());
    loadDirectory();
    m_startedAt = clock::now();
    for (std::size_t stream = 0; stream < m_plan.streams.size(); ++stream) {
        m_timers.push_back(std::make_unique<boost::asio::steady_timer>(m_context));
        scheduleNext(stream, m_startedAt);
    }
    boost::asio::steady_timer warmUpDuration { m_context, m_plan.warmUpDuration };
    std::map<std::string, std::uint64_t> countersAfterWarmUp;
    warmUpDuration.async_wait([&](boost::system::error_code) { countersAfterWarmUp = readCounters(); });
    m_context.run();
    for (auto const& [name, value] : readCounters())
        m_result.counters[name] = value - countersAfterWarmUp[name];
    return std::move(m_result);
}

void load_run::loadDirectory()
{
    for (auto const& stream : m_plan.streams)
        queryDirectory(stream.service);
    m_context.run();
    m_context.restart();
}

void load_run::queryDirectory(std::string const& service)
{
    auto& addresses = m_services[service];
    if (addresses.isQueryingDirectory)
        return;
    addresses.isQueryingDirectory = true;
    auto const endpoint = m_plan.directory[m_nextDirectoryIndex++ % m_plan.directory.size()];
    auto const client = std::make_shared<wire::http_client>(m_context, endpoint);
    wire::http_request request { "GET", "/directory?service=" + service + "&data_centre=" + m_plan.dataCentre, {}, {} };
    client->connectAndSend(std::move(request), directoryTimeout, [this, client, service](wire::http_result const& result) {
        auto& serviceAddresses = m_services[service];
        serviceAddresses.isQueryingDirectory = false;
        // After a failed directory request, the previous addresses stay in use, and the next request to the service retries.
        if (!result || result->status != statusOk)
            return;
        auto const value = json::parse(result->body);
        serviceAddresses.daemons.clear();
        for (auto const& address : value.at("addresses").as_array())
            serviceAddresses.daemons.push_back({ std::string { address.at("address").as_string() }, address.at("port").to_number<std::uint16_t>() });
        serviceAddresses.ticketPrefix = std::string { value.at("ticket_prefix").as_string() };
        serviceAddresses.validUntil = clock::now() + std::chrono::milliseconds { value.at("valid_for_ms").to_number<std::int64_t>() };
    });
}

void load_run::scheduleNext(std::size_t stream, clock::time_point after)
{
    std::exponential_distribution<double> interval { m_plan.streams[stream].requestsPerSecond };
    auto const intendedTime = after + std::chrono::duration_cast<clock::duration>(std::chrono::duration<double> { interval(m_random) });
    if (intendedTime > m_startedAt + m_plan.warmUpDuration + m_plan.duration)
        return;
    auto& timer = *m_timers[stream];
    timer.expires_at(intendedTime);
    timer.async_wait([this, stream, intendedTime](boost::system::error_code failure) {
        if (failure)
            return;
        sendRequest(stream, intendedTime);
        scheduleNext(stream, intendedTime);
    });
}

void load_run::sendRequest(std::size_t streamIndex, clock::time_point intendedTime)
{
    auto const& stream = m_plan.streams[streamIndex];
    auto const& addresses = m_services[stream.service];
    if (clock::now() >= addresses.validUntil)
        queryDirectory(stream.service);
    recordForSecondAndStream(streamIndex, intendedTime, [](stream_result& result) { ++result.sent; });
    if (addresses.daemons.empty()) {
        recordError(streamIndex, intendedTime, "no_address");
        return;
    }
    model::query_request request;
    request.id = "load-" + std::to_string(++m_lastRequestNumber);
    request.service = stream.service;
    request.requestKind = stream.requestKind;
    request.deadline = stream.deadline;
    if (stream.isKeyed)
        request.key = "key-" + std::to_string(m_random());
    if (stream.isTicketed)
        request.ticket = addresses.ticketPrefix + "~" + std::to_string(m_random());
    auto const endpoint = addresses.daemons[m_random() % addresses.daemons.size()];
    auto& pool = m_pools[endpoint];
    std::shared_ptr<wire::http_client> client;
    while (!pool.idle.empty() && !client) {
        if (pool.idle.back()->isUsable())
            client = pool.idle.back();
        pool.idle.pop_back();
    }
    if (!client)
        client = std::make_shared<wire::http_client>(m_context, endpoint);
    wire::http_request message { "POST", "/query", wire::formatQuery(request), {} };
    client->connectAndSend(std::move(message), requestTimeout, [this, client, endpoint, streamIndex, intendedTime, id = request.id](wire::http_result const& result) {
        recordReply(streamIndex, intendedTime, id, result);
        if (result && client->isOpen())
            m_pools[endpoint].idle.push_back(client);
    });
}

void load_run::recordForSecondAndStream(std::size_t stream, clock::time_point intendedTime, std::function<void(stream_result&)> const& update)
{
    auto const second = static_cast<std::size_t>(std::chrono::duration_cast<std::chrono::seconds>(intendedTime - m_startedAt).count());
    while (m_result.seconds.size() <= second)
        m_result.seconds.emplace_back(m_plan.streams.size());
    update(m_result.seconds[second][stream]);
    if (intendedTime >= m_startedAt + m_plan.warmUpDuration)
        update(m_result.streams[stream]);
}

void load_run::recordError(std::size_t stream, clock::time_point intendedTime, std::string const& kind)
{
    auto const latency = std::chrono::duration_cast<std::chrono::microseconds>(clock::now() - intendedTime);
    recordForSecondAndStream(stream, intendedTime, [&](stream_result& result) {
        ++result.errors[kind];
        result.errorLatency.add(latency);
    });
}

void load_run::recordReply(std::size_t stream, clock::time_point intendedTime, std::string const& id, wire::http_result const& reply)
{
    if (!reply) {
        recordError(stream, intendedTime, "connection");
        return;
    }
    if (reply->status != statusOk) {
        recordError(stream, intendedTime, std::string { errors::propertiesOf(wire::parseError(reply->body).kind).name });
        return;
    }
    auto const answer = wire::parseAnswer(reply->body);
    auto const fault = answer ? findAnswerError(*answer, id) : std::optional { answer.error().message };
    if (fault) {
        ++m_result.answerErrorCount;
        if (m_result.faults.size() < maximumRetainedFaults)
            m_result.faults.push_back(id + ": " + *fault);
    }
    if (!answer)
        return;
    auto const latency = std::chrono::duration_cast<std::chrono::microseconds>(clock::now() - intendedTime);
    auto const deadline = m_plan.streams[stream].deadline;
    bool const isInTime = deadline.count() == 0 || latency <= deadline;
    auto const& covered = answer->covered;
    auto const coveredPercent = covered.asked == 0 ? percent : percent * covered.answered / covered.asked;
    recordForSecondAndStream(stream, intendedTime, [&](stream_result& result) {
        result.latency.add(latency);
        ++(covered.isWhole() ? result.whole : result.partial);
        result.answersWithinDeadline += isInTime ? 1 : 0;
        result.completeAnswersWithinDeadline += isInTime && covered.isWhole() ? 1 : 0;
        ++result.coverage[coveredPercent / coverageStep * coverageStep];
    });
}

std::map<std::string, std::uint64_t> load_run::readCounters()
{
    std::map<std::string, std::uint64_t> sums;
    for (auto const& endpoint : m_plan.operators) {
        boost::asio::io_context context;
        wire::http_client client { context, endpoint };
        client.connectAndSend({ "GET", "/state", {}, {} }, directoryTimeout, [&](wire::http_result const& result) {
            if (!result || result->status != statusOk)
                return;
            auto const state = json::parse(result->body);
            for (auto const& [name, value] : state.at("services").at("decisions").at("counters").as_object())
                sums[std::string { name }] += value.to_number<std::uint64_t>();
        });
        context.run();
    }
    return sums;
}

}

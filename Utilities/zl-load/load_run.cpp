#include "Utilities/zl-load/load_run.h"

#include "Libraries/zinnialedge/wire/caller_codec.h"
#include "Utilities/zl-load/answer_check.h"
#include <boost/json.hpp>

namespace zinnialedge::utilities::load {

namespace json = boost::json;

static constexpr std::chrono::milliseconds requestTimeout { 10'000 };
static constexpr std::chrono::milliseconds directoryTimeout { 1000 };
static constexpr std::size_t mostFaultsKept = 20;
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
    prepareDirectory();
    m_startedAt = clock::now();
    for (std::size_t stream = 0; stream < m_plan.streams.size(); ++stream) {
        m_timers.push_back(std::make_unique<boost::asio::steady_timer>(m_context));
        scheduleNext(stream, m_startedAt);
    }
    boost::asio::steady_timer warmUp { m_context, m_plan.warmUp };
    std::map<std::string, std::uint64_t> before;
    warmUp.async_wait([&](boost::system::error_code) { before = readCounters(); });
    m_context.run();
    for (auto const& [name, value] : readCounters())
        m_result.counters[name] = value - before[name];
    return std::move(m_result);
}

void load_run::prepareDirectory()
{
    for (auto const& stream : m_plan.streams)
        askDirectory(stream.service);
    m_context.run();
    m_context.restart();
}

void load_run::askDirectory(std::string const& service)
{
    auto& addresses = m_services[service];
    if (addresses.isAsking)
        return;
    addresses.isAsking = true;
    auto const place = m_plan.directory[m_lastDirectory++ % m_plan.directory.size()];
    auto const client = std::make_shared<wire::http_client>(m_context, place);
    wire::http_request request { "GET", "/directory?service=" + service + "&data_centre=" + m_plan.dataCentre, {}, {} };
    client->connectAndSend(std::move(request), directoryTimeout, [this, client, service](wire::http_result const& result) {
        auto& known = m_services[service];
        known.isAsking = false;
        // A failed asking keeps the old addresses and is tried again with the next request.
        if (!result || result->status != statusOk)
            return;
        auto const value = json::parse(result->body);
        known.daemons.clear();
        for (auto const& address : value.at("addresses").as_array())
            known.daemons.push_back({ std::string { address.at("address").as_string() }, address.at("port").to_number<std::uint16_t>() });
        known.ticketPrefix = std::string { value.at("ticket_prefix").as_string() };
        known.validUntil = clock::now() + std::chrono::milliseconds { value.at("valid_for_ms").to_number<std::int64_t>() };
    });
}

void load_run::scheduleNext(std::size_t stream, clock::time_point after)
{
    std::exponential_distribution<double> gap { m_plan.streams[stream].perSecond };
    auto const intended = after + std::chrono::duration_cast<clock::duration>(std::chrono::duration<double> { gap(m_random) });
    if (intended > m_startedAt + m_plan.warmUp + m_plan.duration)
        return;
    auto& timer = *m_timers[stream];
    timer.expires_at(intended);
    timer.async_wait([this, stream, intended](boost::system::error_code failure) {
        if (failure)
            return;
        sendRequest(stream, intended);
        scheduleNext(stream, intended);
    });
}

void load_run::sendRequest(std::size_t streamIndex, clock::time_point intended)
{
    auto const& stream = m_plan.streams[streamIndex];
    auto const& addresses = m_services[stream.service];
    if (clock::now() >= addresses.validUntil)
        askDirectory(stream.service);
    note(streamIndex, intended, [](stream_result& result) { ++result.sent; });
    if (addresses.daemons.empty()) {
        recordError(streamIndex, intended, "no_address");
        return;
    }
    model::query_request request;
    request.id = "load-" + std::to_string(++m_lastRequest);
    request.service = stream.service;
    request.requestKind = stream.requestKind;
    request.deadline = stream.deadline;
    if (stream.isKeyed)
        request.key = "key-" + std::to_string(m_random());
    if (stream.isTicketed)
        request.ticket = addresses.ticketPrefix + "~" + std::to_string(m_random());
    auto const place = addresses.daemons[m_random() % addresses.daemons.size()];
    auto& pool = m_pools[place];
    std::shared_ptr<wire::http_client> client;
    while (!pool.idle.empty() && !client) {
        if (pool.idle.back()->isUsable())
            client = pool.idle.back();
        pool.idle.pop_back();
    }
    if (!client)
        client = std::make_shared<wire::http_client>(m_context, place);
    wire::http_request message { "POST", "/query", wire::formatQuery(request), {} };
    client->connectAndSend(std::move(message), requestTimeout, [this, client, place, streamIndex, intended, id = request.id](wire::http_result const& result) {
        recordReply(streamIndex, intended, id, result);
        if (result && client->isOpen())
            m_pools[place].idle.push_back(client);
    });
}

void load_run::note(std::size_t stream, clock::time_point intended, std::function<void(stream_result&)> const& change)
{
    auto const second = static_cast<std::size_t>(std::chrono::duration_cast<std::chrono::seconds>(intended - m_startedAt).count());
    while (m_result.seconds.size() <= second)
        m_result.seconds.emplace_back(m_plan.streams.size());
    change(m_result.seconds[second][stream]);
    if (intended >= m_startedAt + m_plan.warmUp)
        change(m_result.streams[stream]);
}

void load_run::recordError(std::size_t stream, clock::time_point intended, std::string const& kind)
{
    auto const latency = std::chrono::duration_cast<std::chrono::microseconds>(clock::now() - intended);
    note(stream, intended, [&](stream_result& result) {
        ++result.errors[kind];
        result.refusalLatency.add(latency);
    });
}

void load_run::recordReply(std::size_t stream, clock::time_point intended, std::string const& id, wire::http_result const& reply)
{
    if (!reply) {
        recordError(stream, intended, "connection");
        return;
    }
    if (reply->status != statusOk) {
        recordError(stream, intended, std::string { errors::answerFor(wire::parseError(reply->body).kind).name });
        return;
    }
    auto const answer = wire::parseAnswer(reply->body);
    auto const fault = answer ? findFault(*answer, id) : std::optional { answer.error().message };
    if (fault) {
        ++m_result.faultCount;
        if (m_result.faults.size() < mostFaultsKept)
            m_result.faults.push_back(id + ": " + *fault);
    }
    if (!answer)
        return;
    auto const latency = std::chrono::duration_cast<std::chrono::microseconds>(clock::now() - intended);
    auto const deadline = m_plan.streams[stream].deadline;
    bool const isInTime = deadline.count() == 0 || latency <= deadline;
    auto const& covered = answer->covered;
    auto const coveredPercent = covered.asked == 0 ? percent : percent * covered.answered / covered.asked;
    note(stream, intended, [&](stream_result& result) {
        result.latency.add(latency);
        ++(covered.isWhole() ? result.whole : result.partial);
        result.inTime += isInTime ? 1 : 0;
        result.wholeInTime += isInTime && covered.isWhole() ? 1 : 0;
        ++result.coverage[coveredPercent / coverageStep * coverageStep];
    });
}

std::map<std::string, std::uint64_t> load_run::readCounters()
{
    std::map<std::string, std::uint64_t> sums;
    for (auto const& place : m_plan.operators) {
        boost::asio::io_context context;
        wire::http_client client { context, place };
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

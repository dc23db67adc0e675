#include "StandIns/target/leaf_standin.h"

#include "Libraries/zinnialedge/configuration/json_reader.h"
#include <algorithm>
#include <boost/json.hpp>

namespace zinnialedge::stand_ins::target {

namespace json = boost::json;
using queries::leaf_refusal;

static constexpr int statusOk = 200;
static constexpr int statusBadRequest = 400;
static constexpr int statusNotFound = 404;
static constexpr int statusConflict = 409;
static constexpr int statusUnavailable = 503;
static constexpr double coldStartFactor = 5;
static constexpr double percent = 100;

errors::error_or<std::unique_ptr<leaf_standin>> leaf_standin::create(boost::asio::io_context& context, leaf_settings settings)
{
    std::unique_ptr<leaf_standin> leaf { new leaf_standin(context, std::move(settings)) };
    auto* const self = leaf.get();
    wire::http_server_options limits;
    limits.firstReadDelay = self->m_settings.connectionOpenDelay;
    limits.shouldAcceptConnection = [self] {
        auto const open = self->m_server->connectionCount();
        if (open >= self->m_settings.connectionCap) {
            ++self->m_counts.refusedConnections;
            return false;
        }
        self->m_counts.peakConnections = std::max<std::uint64_t>(self->m_counts.peakConnections, open + 1);
        return true;
    };
    auto server = wire::http_server::listen(context, self->m_settings.place, std::move(limits), [self](wire::http_request const& request, wire::http_responder const& respond) { self->handle(request, respond); });
    if (!server)
        return tl::unexpected(server.error());
    self->m_server = std::move(*server);
    return leaf;
}

leaf_standin::leaf_standin(boost::asio::io_context& context, leaf_settings settings)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_random(m_settings.seed)
{
}

void leaf_standin::handle(wire::http_request const& request, wire::http_responder const& respond)
{
    auto const path = wire::requestPath(request);
    if (path == "/search")
        search(request, respond);
    else if (path == "/cancel")
        cancel(wire::parseQueryParameters(request)["call"], respond);
    else if (path == "/status")
        respond({ statusOk, wire::formatLeafStatus(status()), {} });
    else if (path == "/faults")
        changeFaults(request, respond);
    else if (path == "/counts")
        sendCounts(respond);
    else
        respond({ statusNotFound, "{}", {} });
}

queries::leaf_status leaf_standin::status() const
{
    double load = static_cast<double>(m_running.size() + m_queue.size()) / static_cast<double>(m_settings.slots);
    if (m_faults.reportedLoadPercentOverride)
        load = static_cast<double>(*m_faults.reportedLoadPercentOverride) / percent;
    return { m_settings.epochs, m_settings.versions, load, m_faults.isDraining };
}

static bool contains(std::vector<std::uint64_t> const& numbers, std::uint64_t number)
{
    return std::find(numbers.begin(), numbers.end(), number) != numbers.end();
}

std::optional<leaf_refusal> leaf_standin::findRefusalReason(wire::leaf_call const& call) const
{
    if (m_faults.isDraining)
        return leaf_refusal::draining;
    if (!contains(m_settings.epochs, call.pin.epoch))
        return leaf_refusal::wrong_epoch;
    if (!contains(m_settings.versions, call.pin.version))
        return leaf_refusal::version_gone;
    bool const isFull = m_running.size() >= m_settings.slots && m_queue.size() >= m_settings.queue;
    if (m_faults.isSheddingAllCalls || isFull)
        return leaf_refusal::shed;
    return std::nullopt;
}

void leaf_standin::search(wire::http_request const& request, wire::http_responder const& respond)
{
    ++m_counts.calls;
    auto parsed = wire::parseLeafCall(request.body);
    if (!parsed) {
        respond({ statusBadRequest, "{}", {} });
        return;
    }
    pending_call received { std::move(*parsed), respond, std::chrono::steady_clock::now(), nullptr };
    received.deadline += received.call.deadline;
    if (auto const refusal = findRefusalReason(received.call)) {
        refuse(received, *refusal);
        return;
    }
    // Urgent calls are queued before all other calls, in order of arrival.
    auto const position = received.call.isUrgent ? std::find_if(m_queue.begin(), m_queue.end(), [](auto const& each) { return !each.call.isUrgent; }) : m_queue.end();
    m_queue.insert(position, std::move(received));
    startQueuedCalls();
}

void leaf_standin::refuse(pending_call const& refused, leaf_refusal refusal)
{
    m_counts.shed += refusal == leaf_refusal::shed ? 1 : 0;
    bool const isTemporary = refusal == leaf_refusal::shed || refusal == leaf_refusal::draining;
    refused.respond({ isTemporary ? statusUnavailable : statusConflict, wire::formatLeafRefusal(refused.call, status(), refusal), {} });
}

void leaf_standin::startQueuedCalls()
{
    while (m_running.size() < m_settings.slots && !m_queue.empty()) {
        auto next = std::move(m_queue.front());
        m_queue.pop_front();
        if (std::chrono::steady_clock::now() >= next.deadline)
            refuse(next, leaf_refusal::deadline);
        else
            run(std::move(next));
    }
}

std::chrono::microseconds leaf_standin::sampleServiceTime()
{
    std::exponential_distribution<double> exponential { 1 };
    std::uniform_real_distribution<double> uniform { 0, percent };
    double time = static_cast<double>(m_settings.work.base.count()) + exponential(m_random) * static_cast<double>(m_settings.work.exponentialMean.count());
    if (uniform(m_random) < m_settings.work.stragglerPercent)
        time *= m_settings.work.stragglerFactor;
    if (std::chrono::steady_clock::now() < m_startedAt + m_settings.coldStartDuration)
        time *= coldStartFactor;
    return std::chrono::microseconds { static_cast<std::int64_t>(time * m_faults.slowFactor) };
}

void leaf_standin::run(pending_call started)
{
    ++m_counts.runs;
    if (!started.call.ticket.empty())
        ++m_runCountByTicket[started.call.ticket];
    auto const id = started.call.call;
    started.timer = std::make_shared<boost::asio::steady_timer>(m_context, sampleServiceTime());
    started.timer->async_wait([this, id, timer = started.timer](boost::system::error_code failure) {
        if (!failure)
            finish(id);
    });
    m_running.insert_or_assign(id, std::move(started));
}

std::vector<model::row> leaf_standin::makeRows(wire::leaf_call const& call) const
{
    // Each row contains the shard and the snapshot that it was read from, so that a test can detect an answer that mixes
    // snapshots.
    auto const value = "s" + std::to_string(call.shard) + "e" + std::to_string(call.pin.epoch) + "v" + std::to_string(call.pin.version);
    if (!call.key.empty())
        return { { call.key, value } };
    std::vector<model::row> rows;
    rows.reserve(m_settings.rowsPerReply);
    for (std::uint32_t index = 0; index < m_settings.rowsPerReply; ++index)
        rows.push_back({ "s" + std::to_string(call.shard) + "-" + std::to_string(index), value });
    return rows;
}

void leaf_standin::finish(std::string const& id)
{
    auto const found = m_running.find(id);
    if (found == m_running.end())
        return;
    auto finished = std::move(found->second);
    m_running.erase(found);
    startQueuedCalls();
    if (m_faults.isClosingConnectionsOnReply) {
        m_server->cutConnections();
        return;
    }
    auto const rows = makeRows(finished.call);
    if (m_faults.isReplyingWithOtherCall)
        finished.call.call += "-other";
    if (m_faults.isReplyingWithOtherShard)
        ++finished.call.shard;
    if (m_faults.isReplyingWithOtherVersion)
        ++finished.call.pin.version;
    finished.respond({ statusOk, wire::formatLeafAnswer(finished.call, status(), rows), {} });
}

void leaf_standin::cancel(std::string const& id, wire::http_responder const& respond)
{
    ++m_counts.cancelled;
    if (auto const running = m_running.find(id); running != m_running.end()) {
        running->second.timer->cancel();
        refuse(running->second, leaf_refusal::cancelled);
        m_running.erase(running);
        startQueuedCalls();
    } else {
        auto const queued = std::find_if(m_queue.begin(), m_queue.end(), [&](auto const& each) { return each.call.call == id; });
        if (queued != m_queue.end()) {
            refuse(*queued, leaf_refusal::cancelled);
            m_queue.erase(queued);
        }
    }
    respond({ statusOk, "{}", {} });
}

void leaf_standin::changeFaults(wire::http_request const& request, wire::http_responder const& respond)
{
    static constexpr std::uint64_t maximumSlowFactor = 1'000'000;
    std::vector<std::string> problems;
    if (auto const value = configuration::parseJson(request.body, problems)) {
        configuration::json_reader reader { *value, problems };
        m_faults.slowFactor = static_cast<double>(reader.number("slow_factor", 1, maximumSlowFactor, static_cast<std::uint64_t>(m_faults.slowFactor)));
        m_faults.isSheddingAllCalls = reader.flag("shed", m_faults.isSheddingAllCalls);
        m_faults.isDraining = reader.flag("draining", m_faults.isDraining);
        m_faults.isReplyingWithOtherCall = reader.flag("answer_other_call", m_faults.isReplyingWithOtherCall);
        m_faults.isReplyingWithOtherShard = reader.flag("answer_other_shard", m_faults.isReplyingWithOtherShard);
        m_faults.isReplyingWithOtherVersion = reader.flag("answer_other_version", m_faults.isReplyingWithOtherVersion);
        m_faults.isClosingConnectionsOnReply = reader.flag("cut_replies", m_faults.isClosingConnectionsOnReply);
        if (reader.has("reported_load_percent"))
            m_faults.reportedLoadPercentOverride = reader.number("reported_load_percent", 0, 1000);
        if (reader.has("versions"))
            m_settings.versions = reader.numbers("versions");
        if (reader.has("epochs"))
            m_settings.epochs = reader.numbers("epochs");
        reader.finish();
    }
    respond({ problems.empty() ? statusOk : statusBadRequest, problems.empty() ? "{}" : problems.front(), {} });
}

void leaf_standin::sendCounts(wire::http_responder const& respond) const
{
    json::object tickets;
    for (auto const& [ticket, runs] : m_runCountByTicket)
        tickets[ticket] = runs;
    respond({ statusOk, json::serialize(json::object {
                            { "calls", m_counts.calls },
                            { "runs", m_counts.runs },
                            { "shed", m_counts.shed },
                            { "cancelled", m_counts.cancelled },
                            { "refused_connections", m_counts.refusedConnections },
                            { "most_connections", m_counts.peakConnections },
                            { "runs_of_ticket", std::move(tickets) },
                        }),
        {} });
}

}

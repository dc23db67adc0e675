#include "StandIns/platform/platform_standin.h"

#include "Libraries/zinnialedge/configuration/json_reader.h"
#include <boost/json.hpp>
#include <charconv>

namespace zinnialedge::stand_ins::platform {

namespace json = boost::json;

static constexpr int statusOk = 200;
static constexpr int statusBadRequest = 400;
static constexpr int statusNotFound = 404;
static constexpr int statusGone = 410;
static constexpr int statusPreconditionFailed = 412;
static constexpr int statusUnavailable = 503;
static constexpr std::uint64_t maximumDelayMilliseconds = 60'000;
static constexpr std::uint64_t maximumNumber = std::numeric_limits<std::uint64_t>::max();

static std::uint64_t parseNumber(std::string const& text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

errors::error_or<std::unique_ptr<platform_standin>> platform_standin::create(boost::asio::io_context& context, model::endpoint const& endpoint)
{
    std::unique_ptr<platform_standin> standIn { new platform_standin(context) };
    wire::http_server_options limits;
    limits.connections = 20'000;
    auto server = wire::http_server::listen(context, endpoint, limits, [self = standIn.get()](wire::http_request const& request, wire::http_responder const& respond) { self->handle(request, respond); });
    if (!server)
        return tl::unexpected(server.error());
    standIn->m_server = std::move(*server);
    return standIn;
}

platform_standin::platform_standin(boost::asio::io_context& context)
    : m_context(context)
{
}

void platform_standin::handle(wire::http_request const& request, wire::http_responder const& respond)
{
    auto const path = wire::requestPath(request);
    if (path == "/faults") {
        changeFaults(request, respond);
    } else if (path == "/counts") {
        sendCounts(respond);
    } else if (m_faults.isUnresponsive) {
        m_unansweredResponders.push_back(respond);
    } else if (m_faults.isFailing) {
        respond({ statusUnavailable, "{}", {} });
    } else if (m_faults.delay.count() > 0) {
        auto const timer = std::make_shared<boost::asio::steady_timer>(m_context, m_faults.delay);
        timer->async_wait([this, timer, request, respond](boost::system::error_code) { serve(request, respond); });
    } else {
        serve(request, respond);
    }
}

void platform_standin::serve(wire::http_request const& request, wire::http_responder const& respond)
{
    static std::string const objectPath = "/objects/";
    auto const path = wire::requestPath(request);
    if (path.starts_with(objectPath)) {
        serveObject(request, path.substr(objectPath.size()), respond);
    } else if (path == "/objects") {
        ++m_counts.reads;
        respond({ statusOk, wire::formatStoreListing(m_store.list(wire::parseQueryParameters(request)["prefix"])), {} });
    } else if (path == "/watch") {
        serveWatch(request, respond);
    } else if (path == "/vms") {
        serveVmList(request, respond);
    } else {
        respond({ statusNotFound, "{}", {} });
    }
}

void platform_standin::serveObject(wire::http_request const& request, std::string const& key, wire::http_responder const& respond)
{
    if (request.method != "GET") {
        serveWrite(request, key, respond);
        return;
    }
    ++m_counts.reads;
    auto const* object = m_store.find(key);
    if (!object)
        respond({ statusNotFound, "{}", {} });
    else
        respond({ statusOk, *object->body, { { "ETag", '"' + std::to_string(object->version) + '"' } } });
}

static std::optional<write_precondition> parsePrecondition(wire::http_request const& request)
{
    auto const ifMatch = wire::headerValue(request.headers, "if-match");
    auto const ifNoneMatch = wire::headerValue(request.headers, "if-none-match");
    if (ifNoneMatch == "*")
        return write_precondition { 0 };
    if (ifMatch.empty())
        return write_precondition {};
    if (ifMatch.size() < 3 || ifMatch.front() != '"' || ifMatch.back() != '"')
        return std::nullopt;
    return write_precondition { parseNumber(ifMatch.substr(1, ifMatch.size() - 2)) };
}

void platform_standin::serveWrite(wire::http_request const& request, std::string const& key, wire::http_responder const& respond)
{
    ++m_counts.writes;
    auto const condition = parsePrecondition(request);
    bool const isDelete = request.method == "DELETE";
    if (!condition || (!isDelete && request.method != "PUT")) {
        respond({ statusBadRequest, "{}", {} });
        return;
    }
    auto const body = isDelete ? std::nullopt : std::optional { request.body };
    auto const version = m_store.write(key, body, *condition);
    if (version)
        completeWatches();
    if (m_faults.remainingRepliesToDrop > 0) {
        --m_faults.remainingRepliesToDrop;
        ++m_counts.droppedReplies;
        m_unansweredResponders.push_back(respond);
        return;
    }
    if (!version)
        respond({ statusPreconditionFailed, "{}", {} });
    else
        respond({ statusOk, "{}", { { "ETag", '"' + std::to_string(*version) + '"' } } });
}

void platform_standin::serveWatch(wire::http_request const& request, wire::http_responder const& respond)
{
    ++m_counts.watches;
    if (m_faults.areWatchesUnanswered) {
        m_unansweredResponders.push_back(respond);
        return;
    }
    auto parameters = wire::parseQueryParameters(request);
    auto const after = parseNumber(parameters["after"]);
    auto const changes = m_store.changesAfter(after, parameters["prefix"]);
    if (!changes) {
        respond({ statusGone, "{}", {} });
        return;
    }
    if (!changes->objects.empty()) {
        respond({ statusOk, wire::formatStoreListing(*changes), {} });
        return;
    }
    std::chrono::milliseconds const watchTimeout { static_cast<std::int64_t>(std::min(parseNumber(parameters["wait_ms"]), maximumDelayMilliseconds)) };
    auto const watch = m_pendingWatches.insert(m_pendingWatches.end(), pending_watch { after, parameters["prefix"], respond, boost::asio::steady_timer { m_context, watchTimeout } });
    watch->timer.async_wait([this, watch](boost::system::error_code failure) {
        if (failure)
            return;
        watch->respond({ statusOk, wire::formatStoreListing({ m_store.revision(), {} }), {} });
        m_pendingWatches.erase(watch);
    });
}

void platform_standin::completeWatches()
{
    for (auto each = m_pendingWatches.begin(); each != m_pendingWatches.end();) {
        auto const changes = m_store.changesAfter(each->after, each->prefix);
        if (!changes || changes->objects.empty()) {
            ++each;
            continue;
        }
        if (m_faults.isUnresponsive || m_faults.areWatchesUnanswered)
            m_unansweredResponders.push_back(each->respond);
        else
            each->respond({ statusOk, wire::formatStoreListing(*changes), {} });
        each = m_pendingWatches.erase(each);
    }
}

void platform_standin::serveVmList(wire::http_request const& request, wire::http_responder const& respond)
{
    if (request.method == "PUT") {
        m_vmListJson = request.body;
        respond({ statusOk, "{}", {} });
        return;
    }
    ++m_counts.reads;
    respond({ statusOk, m_vmListJson, {} });
}

void platform_standin::changeFaults(wire::http_request const& request, wire::http_responder const& respond)
{
    std::vector<std::string> problems;
    auto const value = configuration::parseJson(request.body, problems);
    if (value) {
        configuration::json_reader reader { *value, problems };
        m_faults.isUnresponsive = reader.flag("outage", m_faults.isUnresponsive);
        m_faults.isFailing = reader.flag("failing", m_faults.isFailing);
        m_faults.areWatchesUnanswered = reader.flag("silent_watches", m_faults.areWatchesUnanswered);
        m_faults.delay = reader.milliseconds("delay_ms", 0, maximumDelayMilliseconds, m_faults.delay);
        m_faults.remainingRepliesToDrop = reader.number("lose_replies", 0, maximumNumber, m_faults.remainingRepliesToDrop);
        reader.finish();
    }
    respond({ problems.empty() ? statusOk : statusBadRequest, "{}", {} });
}

void platform_standin::sendCounts(wire::http_responder const& respond) const
{
    respond({ statusOk, json::serialize(json::object { { "reads", m_counts.reads }, { "writes", m_counts.writes }, { "watches", m_counts.watches }, { "lost_replies", m_counts.droppedReplies }, { "revision", m_store.revision() } }), {} });
}

}

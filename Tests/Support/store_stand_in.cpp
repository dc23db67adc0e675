#include "Tests/Support/store_stand_in.h"

#include "Kernel/verify.h"
#include <algorithm>
#include <boost/algorithm/string/replace.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <future>

namespace zinnialedge::tests {

namespace json = boost::json;

static constexpr std::string_view objectsPath = "/zinnialedge/objects/";
static constexpr std::chrono::milliseconds watchCheckInterval { 20 };

store_stand_in::store_stand_in(model::endpoint const& endpoint)
    : m_address(endpoint.address)
{
    auto server = wire::http_server::listen(m_context, endpoint, {}, [this](wire::http_request const& request, wire::http_responder const& respond) { handleRequest(request, respond); });
    VERIFY(server.has_value());
    m_server = std::move(*server);
    m_port = m_server->port();
    scheduleWatchCheck();
    m_thread = std::thread { [this] { m_context.run(); } };
}

store_stand_in::~store_stand_in()
{
    m_context.stop();
    m_thread.join();
}

void store_stand_in::runOnStoreThread(std::function<void()> work)
{
    std::promise<void> done;
    boost::asio::post(m_context, [&] {
        work();
        done.set_value();
    });
    done.get_future().wait();
}

void store_stand_in::put(std::string const& kind, std::string const& name, json::value spec)
{
    runOnStoreThread([&] { changeObject(kind, name, std::move(spec)); });
}

void store_stand_in::erase(std::string const& kind, std::string const& name)
{
    runOnStoreThread([&] { changeObject(kind, name, std::nullopt); });
}

std::optional<json::value> store_stand_in::find(std::string const& kind, std::string const& name)
{
    std::optional<json::value> found;
    runOnStoreThread([&] {
        auto const each = m_objects[kind].find(name);
        if (each != m_objects[kind].end())
            found = each->second.spec;
    });
    return found;
}

void store_stand_in::putText(std::string const& kind, std::string const& name, std::string const& text)
{
    auto const marker = "text-" + std::to_string(m_texts.size());
    runOnStoreThread([&] { m_texts[marker] = text; });
    put(kind, name, json::string { marker });
}

void store_stand_in::setFaultMode(trouble next)
{
    runOnStoreThread([&] {
        m_currentTrouble = next;
        if (next == trouble::silent)
            m_pendingWatches.clear();
    });
}

void store_stand_in::discardHistory()
{
    runOnStoreThread([&] {
        m_history.clear();
        m_oldestWatchableRevision = m_revision;
    });
}

std::size_t store_stand_in::pendingWatchCount(std::string const& kind)
{
    std::size_t count = 0;
    runOnStoreThread([&] { count = static_cast<std::size_t>(std::count_if(m_pendingWatches.begin(), m_pendingWatches.end(), [&](auto const& each) { return each.kind == kind; })); });
    return count;
}

void store_stand_in::losePendingWatches(std::string const& kind)
{
    runOnStoreThread([&] {
        for (auto const& each : m_pendingWatches) {
            if (each.kind == kind)
                m_unansweredResponders.push_back(each.respond);
        }
        std::erase_if(m_pendingWatches, [&](auto const& each) { return each.kind == kind; });
    });
}

void store_stand_in::keepCopy()
{
    runOnStoreThread([&] { m_copy = { m_objects, m_revision }; });
}

void store_stand_in::restoreCopy()
{
    runOnStoreThread([&] {
        m_objects = m_copy.objects;
        m_revision = m_copy.revision;
        m_history.clear();
        m_oldestWatchableRevision = m_revision;
        m_pendingWatches.clear();
        ++m_era;
    });
}

wire::http_responder store_stand_in::addEra(wire::http_responder const& respond) const
{
    return [this, respond](wire::http_response response) {
        for (auto const& [marker, text] : m_texts)
            boost::algorithm::replace_all(response.body, "\"" + marker + "\"", text);
        response.headers["Store-Era"] = std::to_string(m_era.load());
        respond(std::move(response));
    };
}

json::value store_stand_in::formatObject(std::string const& name, object_entry const& content)
{
    return { { "meta", { { "name", name }, { "revision", content.revision }, { "create_revision", 1 }, { "finalizers", json::array {} }, { "deleting", false } } }, { "spec", content.spec }, { "status", nullptr } };
}

void store_stand_in::changeObject(std::string const& kind, std::string const& name, std::optional<json::value> spec)
{
    auto& objects = m_objects[kind];
    auto const existing = objects.find(name);
    bool const isUnchanged = spec ? existing != objects.end() && existing->second.spec == *spec : existing == objects.end();
    if (isUnchanged)
        return;
    ++m_revision;
    object_entry const changed { m_revision, spec ? *spec : existing->second.spec };
    m_history.push_back({ m_revision, kind, name, formatObject(name, changed), !spec });
    if (spec)
        objects[name] = changed;
    else
        objects.erase(name);
    answerReadyWatches();
}

void store_stand_in::handleRequest(wire::http_request const& request, wire::http_responder const& plainRespond)
{
    ++m_callCount;
    auto const respond = addEra(plainRespond);
    if (m_currentTrouble == trouble::silent) {
        m_unansweredResponders.push_back(respond);
        return;
    }
    if (m_currentTrouble == trouble::busy) {
        respond({ 503, "{}", {} });
        return;
    }
    auto path = wire::requestPath(request);
    if (!path.starts_with(objectsPath)) {
        respond({ 404, "{}", {} });
        return;
    }
    path.erase(0, objectsPath.size());
    auto const kind = path.substr(0, path.find('/'));
    auto const name = kind.size() < path.size() ? path.substr(kind.size() + 1) : std::string {};
    if (request.method == "GET")
        handleRead(kind, wire::parseQueryParameters(request), respond);
    else
        handleWrite(request, kind, name, respond);
}

void store_stand_in::handleRead(std::string const& kind, std::map<std::string, std::string> const& parameters, wire::http_responder const& respond)
{
    if (m_currentTrouble == trouble::empty_pages) {
        auto const page = json::serialize(json::object { { "items", json::array {} }, { "more", true }, { "as_of", m_revision } });
        respond({ parameters.contains("watch") ? 410 : 200, page, {} });
        return;
    }
    if (auto const watch = parameters.find("watch"); watch != parameters.end()) {
        auto const sinceRevision = std::stoull(watch->second);
        if (m_currentTrouble == trouble::forgetful || sinceRevision < m_oldestWatchableRevision || (m_refusesUnknownRevisions && sinceRevision > m_revision)) {
            respond({ 410, "{}", {} });
            return;
        }
        pending_watch const newWatch { kind, sinceRevision, std::chrono::steady_clock::now() + std::chrono::milliseconds { std::stoll(parameters.at("wait_ms")) }, respond };
        if (!tryAnswerWatch(newWatch, m_currentTrouble == trouble::hasty))
            m_pendingWatches.push_back(newWatch);
        return;
    }
    static constexpr std::size_t pageSize = 50;
    auto const after = parameters.contains("after") ? parameters.at("after") : std::string {};
    json::array items;
    bool hasMore = false;
    for (auto each = m_objects[kind].upper_bound(after); each != m_objects[kind].end(); ++each) {
        if (items.size() == pageSize) {
            hasMore = true;
            break;
        }
        items.push_back(formatObject(each->first, each->second));
    }
    respond({ 200, json::serialize(json::object { { "items", std::move(items) }, { "more", hasMore }, { "as_of", m_revision } }), {} });
}

void store_stand_in::handleWrite(wire::http_request const& request, std::string const& kind, std::string const& name, wire::http_responder const& respond)
{
    auto& objects = m_objects[kind];
    if (request.method == "DELETE") {
        auto const parameters = wire::parseQueryParameters(request);
        auto const removed = objects.find(name);
        if (parameters.contains("revision") && removed != objects.end() && std::stoull(parameters.at("revision")) != removed->second.revision) {
            respond({ 409, json::serialize(formatObject(name, removed->second)), {} });
            return;
        }
        changeObject(kind, name, std::nullopt);
        respond({ 200, "{}", {} });
        return;
    }
    auto const body = json::parse(request.body);
    auto const& meta = body.at("meta").as_object();
    std::string const target { meta.at("name").as_string() };
    auto const existing = objects.find(target);
    bool const isCreate = request.method == "POST";
    bool const isConflict = isCreate ? existing != objects.end() : existing != objects.end() && meta.contains("revision") && meta.at("revision").to_number<std::uint64_t>() != existing->second.revision;
    if (isConflict) {
        respond({ 409, json::serialize(formatObject(target, existing->second)), {} });
        return;
    }
    if (!isCreate && existing == objects.end()) {
        respond({ 404, "{}", {} });
        return;
    }
    changeObject(kind, target, body.at("spec"));
    respond({ 200, json::serialize(formatObject(target, m_objects[kind][target])), {} });
}

bool store_stand_in::tryAnswerWatch(pending_watch const& pendingWatch, bool hasExpired)
{
    json::array events;
    for (auto const& each : m_history) {
        if (each.revision > pendingWatch.sinceRevision && each.kind == pendingWatch.kind)
            events.push_back({ { "object", each.content }, { "deleted", each.isRemoved } });
    }
    if (events.empty() && !hasExpired)
        return false;
    pendingWatch.respond({ 200, json::serialize(json::object { { "events", std::move(events) }, { "as_of", m_revision } }), {} });
    return true;
}

void store_stand_in::answerReadyWatches()
{
    auto const now = std::chrono::steady_clock::now();
    std::erase_if(m_pendingWatches, [&](auto const& each) { return tryAnswerWatch(each, now >= each.expiresAt); });
}

void store_stand_in::scheduleWatchCheck()
{
    auto const timer = std::make_shared<boost::asio::steady_timer>(m_context, watchCheckInterval);
    timer->async_wait([this, timer](boost::system::error_code failure) {
        if (failure)
            return;
        answerReadyWatches();
        scheduleWatchCheck();
    });
}

}

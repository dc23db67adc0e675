#include "Tests/Support/fleet_store.h"

#include "Kernel/verify.h"
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <future>

namespace zinnialedge::tests {

namespace json = boost::json;

static constexpr std::string_view objectsPath = "/zinnialedge/objects/";
static constexpr std::chrono::milliseconds tickInterval { 20 };

fleet_store::fleet_store(model::endpoint const& place)
    : m_address(place.address)
{
    auto server = wire::http_server::listen(m_context, place, {}, [this](wire::http_request const& request, wire::http_responder const& respond) { handle(request, respond); });
    VERIFY(server.has_value());
    m_server = std::move(*server);
    m_port = m_server->port();
    tick();
    m_thread = std::thread { [this] { m_context.run(); } };
}

fleet_store::~fleet_store()
{
    m_context.stop();
    m_thread.join();
}

void fleet_store::run(std::function<void()> work)
{
    std::promise<void> done;
    boost::asio::post(m_context, [&] {
        work();
        done.set_value();
    });
    done.get_future().wait();
}

void fleet_store::put(std::string const& kind, std::string const& name, json::value spec)
{
    run([&] { changeObject(kind, name, std::move(spec)); });
}

void fleet_store::erase(std::string const& kind, std::string const& name)
{
    run([&] { changeObject(kind, name, std::nullopt); });
}

std::optional<json::value> fleet_store::find(std::string const& kind, std::string const& name)
{
    std::optional<json::value> found;
    run([&] {
        auto const each = m_objects[kind].find(name);
        if (each != m_objects[kind].end())
            found = each->second.spec;
    });
    return found;
}

void fleet_store::setTrouble(trouble next)
{
    run([&] {
        m_trouble = next;
        if (next == trouble::silent)
            m_watchers.clear();
    });
}

void fleet_store::dropHistory()
{
    run([&] {
        m_history.clear();
        m_historyBegins = m_revision;
    });
}

json::value fleet_store::show(std::string const& name, object const& shown)
{
    return { { "meta", { { "name", name }, { "revision", shown.revision }, { "create_revision", 1 }, { "finalizers", json::array {} }, { "deleting", false } } }, { "spec", shown.spec }, { "status", nullptr } };
}

void fleet_store::changeObject(std::string const& kind, std::string const& name, std::optional<json::value> spec)
{
    auto& objects = m_objects[kind];
    auto const known = objects.find(name);
    bool const isSame = spec ? known != objects.end() && known->second.spec == *spec : known == objects.end();
    if (isSame)
        return;
    ++m_revision;
    object const changed { m_revision, spec ? *spec : known->second.spec };
    m_history.push_back({ m_revision, kind, name, show(name, changed), !spec });
    if (spec)
        objects[name] = changed;
    else
        objects.erase(name);
    serveWatchers();
}

void fleet_store::handle(wire::http_request const& request, wire::http_responder const& respond)
{
    ++m_calls;
    if (m_trouble == trouble::silent) {
        m_unanswered.push_back(respond);
        return;
    }
    if (m_trouble == trouble::busy) {
        respond({ 503, "{}", {} });
        return;
    }
    auto path = wire::pathOf(request);
    if (!path.starts_with(objectsPath)) {
        respond({ 404, "{}", {} });
        return;
    }
    path.erase(0, objectsPath.size());
    auto const kind = path.substr(0, path.find('/'));
    auto const name = kind.size() < path.size() ? path.substr(kind.size() + 1) : std::string {};
    if (request.method == "GET")
        handleRead(kind, wire::parametersOf(request), respond);
    else
        handleWrite(request, kind, name, respond);
}

void fleet_store::handleRead(std::string const& kind, std::map<std::string, std::string> const& parameters, wire::http_responder const& respond)
{
    if (auto const watch = parameters.find("watch"); watch != parameters.end()) {
        auto const from = std::stoull(watch->second);
        if (from < m_historyBegins) {
            respond({ 410, "{}", {} });
            return;
        }
        watcher const made { kind, from, std::chrono::steady_clock::now() + std::chrono::milliseconds { std::stoll(parameters.at("wait_ms")) }, respond };
        if (!answerWatch(made, false))
            m_watchers.push_back(made);
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
        items.push_back(show(each->first, each->second));
    }
    respond({ 200, json::serialize(json::object { { "items", std::move(items) }, { "more", hasMore }, { "as_of", m_revision } }), {} });
}

void fleet_store::handleWrite(wire::http_request const& request, std::string const& kind, std::string const& name, wire::http_responder const& respond)
{
    auto& objects = m_objects[kind];
    if (request.method == "DELETE") {
        changeObject(kind, name, std::nullopt);
        respond({ 200, "{}", {} });
        return;
    }
    auto const body = json::parse(request.body);
    auto const& meta = body.at("meta").as_object();
    std::string const target { meta.at("name").as_string() };
    auto const known = objects.find(target);
    bool const isCreate = request.method == "POST";
    bool const isConflict = isCreate ? known != objects.end() : known != objects.end() && meta.contains("revision") && meta.at("revision").to_number<std::uint64_t>() != known->second.revision;
    if (isConflict) {
        respond({ 409, json::serialize(show(target, known->second)), {} });
        return;
    }
    if (!isCreate && known == objects.end()) {
        respond({ 404, "{}", {} });
        return;
    }
    changeObject(kind, target, body.at("spec"));
    respond({ 200, json::serialize(show(target, m_objects[kind][target])), {} });
}

bool fleet_store::answerWatch(watcher const& waiting, bool isOver)
{
    json::array events;
    for (auto const& each : m_history) {
        if (each.revision > waiting.from && each.kind == waiting.kind)
            events.push_back({ { "object", each.shown }, { "deleted", each.isRemoved } });
    }
    if (events.empty() && !isOver)
        return false;
    waiting.respond({ 200, json::serialize(json::object { { "events", std::move(events) }, { "as_of", m_revision } }), {} });
    return true;
}

void fleet_store::serveWatchers()
{
    auto const now = std::chrono::steady_clock::now();
    std::erase_if(m_watchers, [&](auto const& each) { return answerWatch(each, now >= each.until); });
}

void fleet_store::tick()
{
    auto const timer = std::make_shared<boost::asio::steady_timer>(m_context, tickInterval);
    timer->async_wait([this, timer](boost::system::error_code failure) {
        if (failure)
            return;
        serveWatchers();
        tick();
    });
}

}

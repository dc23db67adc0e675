#include "review/support/store.h"

#include <charconv>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace json = boost::json;

static constexpr std::string_view objectsPath = "/zinnialedge/objects/";
static constexpr std::size_t pageSize = 500;
/// Time between two looks at whether the stand-in stops.
static constexpr milliseconds stopCheckInterval { 100 };
/// Time for the rest of a request whose first bytes have come.
static constexpr milliseconds messageTime { 5000 };
static constexpr std::chrono::minutes idleTime { 5 };

store::store(std::string const& address)
    : m_listener(listenOn(address, 0))
    , m_address(boundAddress(m_listener))
{
    m_acceptors.emplace_back([this] { acceptAt(m_listener, m_address); });
}

store::~store()
{
    m_isStopping = true;
    m_changed.notify_all();
    for (auto& each : m_acceptors)
        each.join();
    for (auto& each : m_threads)
        each.join();
    ::close(m_listener);
    for (auto const each : m_furtherListeners)
        ::close(each);
}

std::string store::addAddress(std::string const& address)
{
    auto const listener = listenOn(address, 0);
    auto bound = boundAddress(listener);
    m_furtherListeners.push_back(listener);
    m_acceptors.emplace_back([this, listener, bound] { acceptAt(listener, bound); });
    return bound;
}

void store::acceptAt(int listener, std::string const& address)
{
    while (!m_isStopping) {
        pollfd waiting { listener, POLLIN, 0 };
        if (::poll(&waiting, 1, static_cast<int>(stopCheckInterval.count())) <= 0)
            continue;
        int const accepted = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        std::lock_guard const lock(m_threadsMutex);
        m_threads.emplace_back([this, accepted, address] { serve(connection { accepted }, address); });
    }
}

void store::setSilent(std::string const& address, bool isSilent)
{
    std::lock_guard const lock(m_mutex);
    if (isSilent)
        m_silentAddresses.insert(address);
    else
        m_silentAddresses.erase(address);
}

bool store::isSilent(std::string const& address)
{
    std::lock_guard const lock(m_mutex);
    return m_silentAddresses.contains(address);
}

void store::serve(connection client, std::string const& address)
{
    auto const idleUntil = clock::now() + idleTime;
    bool isMute = false;
    while (!m_isStopping && clock::now() < idleUntil) {
        auto const request = client.readNext(stopCheckInterval, messageTime);
        if (!request) {
            if (client.hasEnded())
                return;
            continue;
        }
        if (onRequest && !onRequest(*request))
            return;
        isMute = isMute || isSilent(address);
        if (isMute)
            continue;
        auto const response = answer(*request);
        isMute = isSilent(address);
        if (!isMute && !client.write(response))
            return;
    }
}

static std::map<std::string, std::string> parseQuery(std::string const& target)
{
    std::map<std::string, std::string> parameters;
    auto start = target.find('?');
    while (start != std::string::npos && start + 1 < target.size()) {
        auto const end = target.find('&', start + 1);
        auto const pair = target.substr(start + 1, end == std::string::npos ? end : end - start - 1);
        auto const equals = pair.find('=');
        parameters[pair.substr(0, equals)] = equals == std::string::npos ? std::string {} : pair.substr(equals + 1);
        start = end;
    }
    return parameters;
}

template <typename Number>
static Number parseNumber(std::string const& text)
{
    Number value {};
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::string store::respond(int status, json::value const& body) const
{
    auto text = json::serialize(body);
    for (auto const& [placeholder, content] : m_texts) {
        auto const quoted = "\"" + placeholder + "\"";
        for (auto found = text.find(quoted); found != std::string::npos; found = text.find(quoted, found + content.size()))
            text.replace(found, quoted.size(), content);
    }
    return formatResponse(status, { { "Content-Type", "application/json" }, { "Store-Era", "1" } }, text);
}

std::string store::answer(http_message const& request)
{
    auto const target = request.target();
    auto path = target.substr(0, target.find('?'));
    if (!path.starts_with(objectsPath))
        return respond(404, json::object {});
    path.erase(0, objectsPath.size());
    auto const separator = path.find('/');
    auto const kind = path.substr(0, separator);
    auto const name = separator == std::string::npos ? std::string {} : path.substr(separator + 1);
    auto const query = parseQuery(target);
    if (request.method() != "GET")
        return writeObject(request, kind, name);
    if (auto const since = query.find("watch"); since != query.end())
        return watch(kind, parseNumber<std::uint64_t>(since->second), milliseconds { parseNumber<std::int64_t>(query.contains("wait_ms") ? query.at("wait_ms") : "0") });
    if (name.empty())
        return list(kind, query.contains("after") ? query.at("after") : std::string {});
    std::lock_guard const lock(m_mutex);
    auto const found = m_objects[kind].find(name);
    return found == m_objects[kind].end() ? respond(404, json::object {}) : respond(200, format(name, found->second));
}

json::value store::format(std::string const& name, object const& of) const
{
    return { { "meta", { { "name", name }, { "revision", of.revision }, { "create_revision", of.createRevision }, { "finalizers", json::array {} }, { "deleting", false } } }, { "spec", of.spec }, { "status", nullptr } };
}

std::string store::list(std::string const& kind, std::string const& after)
{
    std::lock_guard const lock(m_mutex);
    json::array items;
    auto each = m_objects[kind].upper_bound(after);
    for (; each != m_objects[kind].end() && items.size() < pageSize; ++each)
        items.push_back(format(each->first, each->second));
    return respond(200, json::object { { "items", std::move(items) }, { "more", each != m_objects[kind].end() }, { "as_of", m_revision } });
}

std::string store::watch(std::string const& kind, std::uint64_t since, milliseconds wait)
{
    std::unique_lock lock(m_mutex);
    auto const collect = [&] {
        json::array events;
        for (auto const& each : m_history) {
            if (each.kind == kind && each.revision > since)
                events.push_back({ { "object", each.object }, { "deleted", each.isRemoved } });
        }
        return events;
    };
    json::array events;
    m_changed.wait_for(lock, wait, [&] {
        events = collect();
        return !events.empty() || m_isStopping;
    });
    return respond(200, json::object { { "events", std::move(events) }, { "as_of", m_revision } });
}

std::string store::writeObject(http_message const& request, std::string const& kind, std::string const& name)
{
    std::lock_guard const lock(m_mutex);
    if (request.method() == "DELETE") {
        recordChange(kind, name, nullptr, true);
        return respond(200, json::object {});
    }
    auto const body = json::parse(request.body);
    auto const& meta = body.at("meta").as_object();
    std::string const target { meta.at("name").as_string() };
    auto const existing = m_objects[kind].find(target);
    bool const exists = existing != m_objects[kind].end();
    bool const isCreation = request.method() == "POST";
    if (exists && (isCreation || (meta.contains("revision") && meta.at("revision").to_number<std::uint64_t>() != existing->second.revision)))
        return respond(409, format(target, existing->second));
    if (!exists && !isCreation)
        return respond(404, json::object {});
    recordChange(kind, target, body.at("spec"), false);
    return respond(isCreation ? 201 : 200, format(target, m_objects[kind][target]));
}

void store::recordChange(std::string const& kind, std::string const& name, json::value spec, bool isRemoved)
{
    auto const existing = m_objects[kind].find(name);
    bool const exists = existing != m_objects[kind].end();
    if (isRemoved ? !exists : exists && existing->second.spec == spec)
        return;
    ++m_revision;
    object const changed { m_revision, exists ? existing->second.createRevision : m_revision, isRemoved ? existing->second.spec : std::move(spec) };
    m_history.push_back({ m_revision, kind, format(name, changed), isRemoved });
    if (isRemoved)
        m_objects[kind].erase(existing);
    else
        m_objects[kind][name] = changed;
    m_changed.notify_all();
}

void store::put(std::string const& kind, std::string const& name, json::value spec)
{
    std::lock_guard const lock(m_mutex);
    recordChange(kind, name, std::move(spec), false);
}

void store::putText(std::string const& kind, std::string const& name, std::string text)
{
    std::lock_guard const lock(m_mutex);
    auto const placeholder = "text of " + kind + " " + name;
    m_texts[placeholder] = std::move(text);
    recordChange(kind, name, json::value(placeholder), false);
}

void store::remove(std::string const& kind, std::string const& name)
{
    std::lock_guard const lock(m_mutex);
    recordChange(kind, name, nullptr, true);
}

bool store::contains(std::string const& kind, std::string const& name)
{
    std::lock_guard const lock(m_mutex);
    return m_objects[kind].contains(name);
}

std::size_t store::count(std::string const& kind)
{
    std::lock_guard const lock(m_mutex);
    return m_objects[kind].size();
}

}

#include "Services/platform/command_writer.h"

#include "Libraries/zinnialedge/wire/http_message.h"
#include <algorithm>
#include <charconv>

namespace zinnialedge::services::platform {

using configuration::object_write;
using configuration::store_reply;
using errors::error_kind;

static constexpr std::chrono::milliseconds commandDeadline { 8000 };
static constexpr std::size_t mostWaitingTexts = 16;
static constexpr std::chrono::milliseconds queueRetryAfter { 1000 };
static constexpr int statusOk = 200;
static constexpr int statusNotFound = 404;
static constexpr int statusPreconditionFailed = 412;

static std::uint64_t versionOf(wire::http_response const& response)
{
    auto const tag = wire::headerOf(response.headers, "etag");
    std::uint64_t version = 0;
    if (tag.size() > 2)
        std::from_chars(tag.data() + 1, tag.data() + tag.size() - 1, version);
    return version;
}

static configuration::read_result toReadResult(wire::http_result const& result)
{
    if (result && result->status == statusNotFound)
        return { store_reply::absent, 0, {} };
    if (result && result->status == statusOk && versionOf(*result) > 0)
        return { store_reply::done, versionOf(*result), result->body };
    return { store_reply::not_done, 0, {} };
}

static configuration::write_result toWriteResult(wire::http_result const& result)
{
    if (result && result->status == statusOk && versionOf(*result) > 0)
        return { store_reply::done, versionOf(*result) };
    if (result && result->status == statusPreconditionFailed)
        return { store_reply::precondition_failed, 0 };
    // An error status does not prove that the write failed.
    bool const isUnsent = !result && !result.error().mayHaveBeenSent;
    return { isUnsent ? store_reply::not_done : store_reply::unknown, 0 };
}

command_writer::command_writer(std::string writer, command_writer_hooks hooks)
    : m_writer(std::move(writer))
    , m_hooks(std::move(hooks))
{
}

void command_writer::submit(std::vector<configuration::object_commands> commands, std::string const& partner, command_receiver receive)
{
    if (m_texts.size() >= mostWaitingTexts) {
        std::vector<command_result> refused;
        refused.reserve(commands.size());
        for (auto const& each : commands)
            refused.push_back({ each.service, tl::unexpected(errors::error { error_kind::overloaded, "too many command texts are waiting for the store", queueRetryAfter }) });
        receive(std::move(refused));
        return;
    }
    auto const text = std::make_shared<text_job>(text_job { partner, m_hooks.clock() + commandDeadline, {}, false, std::move(receive) });
    for (auto& each : commands)
        text->objects.push_back({ std::move(each), {}, {}, {} });
    m_texts.push_back(text);
    if (m_texts.size() == 1)
        startNext();
}

void command_writer::startNext()
{
    if (m_texts.empty())
        return;
    auto const text = m_texts.front();
    if (m_hooks.clock() >= text->deadline) {
        for (auto& object : text->objects)
            object.result = command_result { object.commands.service, tl::unexpected(errors::error { error_kind::store_unavailable, "the store did not respond to earlier commands; service " + object.commands.service + " was not changed", queueRetryAfter }) };
        advance(text);
        return;
    }
    for (auto& object : text->objects) {
        auto const known = m_hooks.knownVersion(object.commands.service);
        object.machine.emplace(configuration::object_write_request { object.commands, text->partner, m_writer, ++m_lastSequence, known, text->deadline }, m_hooks.random);
    }
    for (auto& object : text->objects)
        perform(text, object, object.machine->start());
}

void command_writer::perform(text_handle const& text, object_job& object, configuration::write_action const& action)
{
    if (std::holds_alternative<configuration::read_object>(action)) {
        read(text, object);
    } else if (auto const* wait = std::get_if<configuration::wait_until>(&action)) {
        m_hooks.schedule(wait->at, [this, text, &object] { perform(text, object, object.machine->handleTimer()); });
    } else if (auto const* settled = std::get_if<configuration::write_settled>(&action)) {
        settle(text, object, settled->result);
    } else if (text->isWriting) {
        write(text, object, std::get<configuration::write_object>(action));
    } else {
        object.held = std::get<configuration::write_object>(action);
        advance(text);
    }
}

void command_writer::read(text_handle const& text, object_job& object)
{
    m_hooks.call({ "GET", std::string { "/objects/" } + configuration::servicePrefix + object.commands.service, {}, {} }, [this, text, &object](wire::http_result const& result) {
        perform(text, object, object.machine->handle(toReadResult(result), m_hooks.clock()));
    });
}

void command_writer::write(text_handle const& text, object_job& object, configuration::write_object const& wanted)
{
    wire::http_request request { "PUT", std::string { "/objects/" } + configuration::servicePrefix + object.commands.service, wanted.body, {} };
    if (wanted.expectedVersion == 0)
        request.headers["If-None-Match"] = "*";
    else
        request.headers["If-Match"] = '"' + std::to_string(wanted.expectedVersion) + '"';
    m_hooks.call(std::move(request), [this, text, &object](wire::http_result const& result) {
        perform(text, object, object.machine->handle(toWriteResult(result), m_hooks.clock()));
    });
}

void command_writer::settle(text_handle const& text, object_job& object, errors::error_or<configuration::accepted_write> const& outcome)
{
    object.result = command_result { object.commands.service, outcome };
    if (outcome && outcome->isChanged)
        m_hooks.accepted({ configuration::servicePrefix + object.commands.service, outcome->version, outcome->body });
    advance(text);
}

void command_writer::advance(text_handle const& text)
{
    auto& objects = text->objects;
    bool const isPlanned = std::all_of(objects.begin(), objects.end(), [](auto const& each) { return each.held || each.result; });
    if (!text->isWriting && isPlanned) {
        text->isWriting = true;
        auto const refused = std::find_if(objects.begin(), objects.end(), [](auto const& each) { return each.result && !each.result->outcome; });
        for (auto& object : objects) {
            if (!object.held)
                continue;
            if (refused != objects.end())
                object.result = command_result { object.commands.service, errors::fail(refused->result->outcome.error().kind, "service " + object.commands.service + " was not changed, because service " + refused->commands.service + " of the same command text was rejected") };
            else
                write(text, object, *object.held);
        }
    }
    bool const isFinished = !text->objects.empty() && !m_texts.empty() && m_texts.front() == text && std::all_of(objects.begin(), objects.end(), [](auto const& each) { return each.result.has_value(); });
    if (!isFinished)
        return;
    std::vector<command_result> results;
    results.reserve(objects.size());
    for (auto& object : objects)
        results.push_back(std::move(*object.result));
    m_texts.pop_front();
    text->receive(std::move(results));
    startNext();
}

}

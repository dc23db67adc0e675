#include "Services/platform/command_writer.h"

#include "Libraries/zinnialedge/wire/http_message.h"
#include <algorithm>
#include <charconv>

namespace zinnialedge::services::platform {

using configuration::object_write;
using configuration::store_reply;
using errors::error_kind;

static constexpr std::chrono::milliseconds commandTimeout { 8000 };
static constexpr std::size_t maximumQueuedTexts = 16;
static constexpr std::chrono::milliseconds queueRetryAfter { 1000 };
static constexpr int statusOk = 200;
static constexpr int statusNotFound = 404;
static constexpr int statusPreconditionFailed = 412;

static std::uint64_t versionOf(wire::http_response const& response)
{
    auto const tag = wire::headerValue(response.headers, "etag");
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
    return { store_reply::no_effect, 0, {} };
}

static configuration::write_result toWriteResult(wire::http_result const& result)
{
    if (result && result->status == statusOk && versionOf(*result) > 0)
        return { store_reply::done, versionOf(*result) };
    if (result && result->status == statusPreconditionFailed)
        return { store_reply::precondition_failed, 0 };
    // An error status does not prove that the write failed.
    bool const isUnsent = !result && !result.error().mayHaveBeenSent;
    return { isUnsent ? store_reply::no_effect : store_reply::unknown, 0 };
}

command_writer::command_writer(std::string writerName, command_writer_hooks hooks)
    : m_writerName(std::move(writerName))
    , m_hooks(std::move(hooks))
{
}

void command_writer::enqueue(std::vector<configuration::service_commands> commands, std::string const& partner, command_receiver receive)
{
    if (m_textQueue.size() >= maximumQueuedTexts) {
        std::vector<command_result> rejected;
        rejected.reserve(commands.size());
        for (auto const& each : commands)
            rejected.push_back({ each.service, tl::unexpected(errors::error { error_kind::overloaded, "too many command texts are waiting for the store", queueRetryAfter }) });
        receive(std::move(rejected));
        return;
    }
    auto const text = std::make_shared<command_text>(command_text { partner, m_hooks.clock() + commandTimeout, {}, false, std::move(receive) });
    for (auto& each : commands)
        text->objects.push_back({ std::move(each), {}, {}, {} });
    m_textQueue.push_back(text);
    if (m_textQueue.size() == 1)
        startNextText();
}

void command_writer::startNextText()
{
    if (m_textQueue.empty())
        return;
    auto const text = m_textQueue.front();
    if (m_hooks.clock() >= text->deadline) {
        for (auto& object : text->objects)
            object.result = command_result { object.commands.service, tl::unexpected(errors::error { error_kind::store_unavailable, "the store did not respond to earlier commands; service " + object.commands.service + " was not changed", queueRetryAfter }) };
        advanceText(text);
        return;
    }
    for (auto& object : text->objects) {
        auto const known = m_hooks.knownVersion(object.commands.service);
        object.stateMachine.emplace(configuration::object_write_request { object.commands, text->partner, m_writerName, ++m_lastSequenceNumber, known, text->deadline }, m_hooks.random);
    }
    for (auto& object : text->objects)
        performAction(text, object, object.stateMachine->start());
}

void command_writer::performAction(command_text_handle const& text, object_job& object, configuration::write_action const& action)
{
    if (std::holds_alternative<configuration::read_object>(action)) {
        read(text, object);
    } else if (auto const* delay = std::get_if<configuration::retry_later>(&action)) {
        m_hooks.schedule(delay->at, [this, text, &object] { performAction(text, object, object.stateMachine->handleTimer()); });
    } else if (auto const* settled = std::get_if<configuration::write_finished>(&action)) {
        recordResult(text, object, settled->result);
    } else if (text->isWriting) {
        write(text, object, std::get<configuration::write_object>(action));
    } else {
        object.deferredWrite = std::get<configuration::write_object>(action);
        advanceText(text);
    }
}

void command_writer::read(command_text_handle const& text, object_job& object)
{
    m_hooks.callStore({ "GET", std::string { "/objects/" } + configuration::servicePrefix + object.commands.service, {}, {} }, [this, text, &object](wire::http_result const& result) {
        performAction(text, object, object.stateMachine->handle(toReadResult(result), m_hooks.clock()));
    });
}

void command_writer::write(command_text_handle const& text, object_job& object, configuration::write_object const& plannedWrite)
{
    wire::http_request request { "PUT", std::string { "/objects/" } + configuration::servicePrefix + object.commands.service, plannedWrite.body, {} };
    if (plannedWrite.expectedVersion == 0)
        request.headers["If-None-Match"] = "*";
    else
        request.headers["If-Match"] = '"' + std::to_string(plannedWrite.expectedVersion) + '"';
    m_hooks.callStore(std::move(request), [this, text, &object](wire::http_result const& result) {
        performAction(text, object, object.stateMachine->handle(toWriteResult(result), m_hooks.clock()));
    });
}

void command_writer::recordResult(command_text_handle const& text, object_job& object, errors::error_or<configuration::accepted_write> const& outcome)
{
    object.result = command_result { object.commands.service, outcome };
    if (outcome && outcome->hasChangedObject)
        m_hooks.changeAccepted({ configuration::servicePrefix + object.commands.service, outcome->version, outcome->body });
    advanceText(text);
}

void command_writer::advanceText(command_text_handle const& text)
{
    auto& objects = text->objects;
    bool const areAllObjectsPlanned = std::all_of(objects.begin(), objects.end(), [](auto const& each) { return each.deferredWrite || each.result; });
    if (!text->isWriting && areAllObjectsPlanned) {
        text->isWriting = true;
        auto const rejected = std::find_if(objects.begin(), objects.end(), [](auto const& each) { return each.result && !each.result->outcome; });
        for (auto& object : objects) {
            if (!object.deferredWrite)
                continue;
            if (rejected != objects.end())
                object.result = command_result { object.commands.service, errors::makeError(rejected->result->outcome.error().kind, "service " + object.commands.service + " was not changed, because service " + rejected->commands.service + " of the same command text was rejected") };
            else
                write(text, object, *object.deferredWrite);
        }
    }
    bool const areAllResultsKnown = !text->objects.empty() && !m_textQueue.empty() && m_textQueue.front() == text && std::all_of(objects.begin(), objects.end(), [](auto const& each) { return each.result.has_value(); });
    if (!areAllResultsKnown)
        return;
    std::vector<command_result> results;
    results.reserve(objects.size());
    for (auto& object : objects)
        results.push_back(std::move(*object.result));
    m_textQueue.pop_front();
    text->receive(std::move(results));
    startNextText();
}

}

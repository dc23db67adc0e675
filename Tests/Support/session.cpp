#include "Tests/Support/session.h"

#include "Kernel/verify.h"
#include "Libraries/zinnialedge/wire/leaf_codec.h"
#include <charconv>

namespace zinnialedge::tests {

using std::chrono::milliseconds;

static queries::engine_settings makeSettings()
{
    queries::engine_settings settings;
    settings.daemon = "daemon-1";
    settings.incarnation = 7;
    settings.queryCapacity = 100;
    settings.sharePercentByPartner = { { "suva", 50 }, { "amman", 50 } };
    return settings;
}

session::session()
    : m_engine(makeSettings(), kernel::makeSeededRandom(1))
{
}

static std::uint64_t parseNumber(std::string const& text)
{
    std::uint64_t number = 0;
    auto const result = std::from_chars(text.data(), text.data() + text.size(), number);
    VERIFY(result.ec == std::errc {} && result.ptr == text.data() + text.size());
    return number;
}

static std::string fieldText(std::map<std::string, std::string> const& values, std::string const& name, std::string const& fallback = {})
{
    auto const found = values.find(name);
    return found == values.end() ? fallback : found->second;
}

static std::uint64_t parseNumber(std::map<std::string, std::string> const& values, std::string const& name, std::uint64_t fallback)
{
    auto const found = values.find(name);
    return found == values.end() ? fallback : parseNumber(found->second);
}

static std::vector<std::uint64_t> parseNumbers(std::string const& text)
{
    std::vector<std::uint64_t> numbers;
    std::istringstream parts { text };
    for (std::string part; std::getline(parts, part, ',');)
        numbers.push_back(parseNumber(part));
    return numbers;
}

std::string session::run(std::string const& script)
{
    std::istringstream lines { script };
    for (std::string line; std::getline(lines, line);) {
        if (!line.empty() && line.front() != '#')
            executeLine(line);
    }
    return m_transcript.str();
}

void session::executeLine(std::string const& line)
{
    std::istringstream words { line };
    std::string at;
    std::string time;
    std::string name;
    words >> at >> time >> name;
    VERIFY(at == "at");
    event_fields eventFields;
    for (std::string word; words >> word;) {
        auto const equals = word.find('=');
        eventFields[word.substr(0, equals)] = equals == std::string::npos ? "yes" : word.substr(equals + 1);
    }
    auto const until = kernel::time_point { milliseconds { parseNumber(time) } };
    runTimersUntil(until);
    m_now = until;
    m_transcript << line << "\n";
    if (name != "end")
        stepEngine(makeEvent(name, eventFields));
}

void session::runTimersUntil(kernel::time_point until)
{
    for (auto next = m_engine.nextTimerTime(); next && *next <= until; next = m_engine.nextTimerTime()) {
        m_now = std::max(m_now, *next);
        auto const before = m_transcript.str().size();
        std::string const line = "at " + formatTime(m_now) + " timer\n";
        m_transcript << line;
        stepEngine(queries::timer_due {});
        // Removes the line of a timer that caused no action from the transcript.
        if (m_transcript.str().size() == before + line.size()) {
            auto text = m_transcript.str();
            text.resize(before);
            m_transcript.str(text);
            m_transcript.seekp(0, std::ios::end);
        }
    }
}

std::string session::formatTime(kernel::time_point time) const
{
    auto const microseconds = std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
    std::ostringstream text;
    text << microseconds / 1000;
    if (microseconds % 1000 != 0)
        text << '.' << microseconds % 1000 << "us";
    return text.str();
}

queries::event session::makeDeclaration(event_fields const& eventFields)
{
    auto declared = std::make_shared<model::service_declaration>();
    declared->name = fieldText(eventFields, "service", "lunch-portal");
    declared->partner = fieldText(eventFields, "partner", "suva");
    declared->epoch = parseNumber(eventFields, "epoch", 1);
    declared->shardCount = static_cast<std::uint32_t>(parseNumber(eventFields, "shards", 2));
    declared->coverage = fieldText(eventFields, "coverage", "whole") == "whole" ? model::coverage_policy::whole : model::coverage_policy::partial;
    declared->deadline = milliseconds { parseNumber(eventFields, "deadline", 80) };
    declared->softDeadline = milliseconds { parseNumber(eventFields, "soft", 40) };
    declared->minimumCoveragePercent = static_cast<std::uint32_t>(parseNumber(eventFields, "share", 50));
    declared->maximumHedgePercent = static_cast<std::uint32_t>(parseNumber(eventFields, "hedge", 5));
    declared->requests = { { "search", true, true, true }, { "read", false, true, false }, { "confirm", false, false, false } };
    auto const replicas = parseNumber(eventFields, "leafs", 2);
    for (std::uint32_t shard = 0; shard < declared->shardCount; ++shard) {
        for (std::uint64_t replica = 0; replica < replicas; ++replica) {
            model::target_declaration target;
            target.name = "t" + std::to_string(shard) + static_cast<char>('a' + replica);
            target.place = { "127.0.0.1", 1 };
            target.shard = shard;
            target.slots = static_cast<std::uint32_t>(parseNumber(eventFields, "slots", 2));
            declared->targets.push_back(std::move(target));
        }
    }
    return queries::service_declared { std::move(declared) };
}

queries::event session::makeQuery(event_fields const& eventFields)
{
    queries::query_arrived arrived;
    arrived.caller = parseNumber(eventFields, "caller", 1);
    auto& request = arrived.request;
    request.id = "q" + std::to_string(arrived.caller);
    request.service = fieldText(eventFields, "service", "lunch-portal");
    request.requestKind = fieldText(eventFields, "request", "search");
    request.key = fieldText(eventFields, "key");
    request.body = fieldText(eventFields, "body");
    request.deadline = milliseconds { parseNumber(eventFields, "deadline", 0) };
    request.isRelayed = eventFields.contains("relayed");
    request.ticket = fieldText(eventFields, "ticket");
    // "own:" stands for the ticket prefix that this daemon issues at time zero.
    if (request.ticket.starts_with("own:"))
        request.ticket = m_engine.issueTicketPrefix(kernel::time_point {}) + "~" + request.ticket.substr(4);
    return arrived;
}

queries::event session::makeLeafCallEnded(std::string const& name, event_fields const& eventFields)
{
    queries::leaf_call_ended ended;
    ended.call = parseNumber(eventFields, "call", 0);
    auto const sentCall = m_sentCalls.find(ended.call);
    VERIFY(sentCall != m_sentCalls.end());
    auto& outcome = ended.outcome;
    outcome.shard = static_cast<std::uint32_t>(parseNumber(eventFields, "shard", sentCall->second.shard));
    outcome.reflects = { parseNumber(eventFields, "epoch", sentCall->second.pin.epoch), parseNumber(eventFields, "version", sentCall->second.pin.version) };
    if (eventFields.contains("versions"))
        outcome.status = queries::leaf_status { parseNumbers(fieldText(eventFields, "epochs", "1")), parseNumbers(fieldText(eventFields, "versions")), 0, false };
    if (name == "reply") {
        outcome.kind = queries::leaf_outcome_kind::answered;
        outcome.rows = { { "s" + std::to_string(outcome.shard), "v" + std::to_string(outcome.reflects.version) } };
    } else if (name == "refuse") {
        outcome.kind = queries::leaf_outcome_kind::refused;
        for (auto refusal = queries::leaf_refusal::none; refusal <= queries::leaf_refusal::deadline; refusal = static_cast<queries::leaf_refusal>(static_cast<int>(refusal) + 1)) {
            if (wire::toString(refusal) == fieldText(eventFields, "why"))
                outcome.refusal = refusal;
        }
        VERIFY(outcome.refusal != queries::leaf_refusal::none);
    } else {
        VERIFY(name == "fail");
        outcome.mayHaveBeenSent = !eventFields.contains("unsent");
    }
    return ended;
}

queries::event session::makeEvent(std::string const& name, event_fields const& eventFields)
{
    if (name == "declare")
        return makeDeclaration(eventFields);
    if (name == "remove")
        return queries::service_removed { fieldText(eventFields, "service", "lunch-portal") };
    if (name == "query")
        return makeQuery(eventFields);
    if (name == "left")
        return queries::caller_left { parseNumber(eventFields, "caller", 1) };
    if (name == "relayed") {
        model::answer answer { "of the other daemon", { 1, 1 }, { 1, 1, {} }, { { "s0", "v1" } }, false };
        return queries::relay_ended { parseNumber(eventFields, "caller", 1), std::move(answer) };
    }
    if (name == "status") {
        queries::leaf_status const status { parseNumbers(fieldText(eventFields, "epochs", "1")), parseNumbers(fieldText(eventFields, "versions", "1")), 0, eventFields.contains("draining") };
        return queries::leaf_status_received { static_cast<routing::leaf_handle>(parseNumber(eventFields, "leaf", 0)), status };
    }
    return makeLeafCallEnded(name, eventFields);
}

void session::stepEngine(queries::event const& event)
{
    for (auto const& action : m_engine.step(event, m_now))
        recordAction(action);
}

static std::string formatResult(model::answer_or_error const& result)
{
    std::ostringstream text;
    if (!result) {
        auto const& answer = errors::propertiesOf(result.error().kind);
        text << "error=" << answer.name << " ran=" << errors::toString(answer.executionState);
        return text.str();
    }
    text << "epoch=" << result->reflects.epoch << " version=" << result->reflects.version << " covered=" << result->covered.answered << "/" << result->covered.asked;
    for (auto const& missing : result->covered.missing)
        text << " missing=" << missing.shard << ":" << model::toString(missing.reason);
    text << " rows=";
    for (auto const& row : result->rows)
        text << row.key << row.value << ",";
    if (result->isRemembered)
        text << " remembered";
    return text.str();
}

void session::recordAction(queries::action const& action)
{
    if (auto const* send = std::get_if<queries::send_leaf_call>(&action)) {
        m_sentCalls[send->call] = *send;
        m_transcript << "    send call=" << send->call << " leaf=" << send->leaf << " shard=" << send->shard << " epoch=" << send->pin.epoch
                     << " version=" << send->pin.version << " deadline=" << formatTime(send->deadline) << "\n";
    } else if (auto const* cancel = std::get_if<queries::cancel_leaf_call>(&action)) {
        m_transcript << "    cancel call=" << cancel->call << " leaf=" << cancel->leaf << "\n";
    } else if (auto const* answer = std::get_if<queries::answer_caller>(&action)) {
        m_transcript << "    answer caller=" << answer->caller << " id=" << (answer->result ? answer->result->id : answer->requestId) << " " << formatResult(answer->result) << "\n";
    } else if (auto const* relay = std::get_if<queries::relay_query>(&action)) {
        m_transcript << "    relay caller=" << relay->caller << " daemon=" << relay->daemon << "\n";
    } else if (auto const* abandoned = std::get_if<queries::abandon_relay>(&action)) {
        m_transcript << "    abandon relay caller=" << abandoned->caller << "\n";
    } else {
        auto const& change = std::get<queries::change_leaf_connections>(action);
        m_transcript << "    connect leaf=" << change.change.handle << " name=" << change.name << " connections=" << change.change.connections << "\n";
    }
}

}

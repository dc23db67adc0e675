#include "Libraries/zinnialedge/forwarding/relay_protocol.h"

#include "Libraries/zinnialedge/forwarding/leaf_rate_limit.h"
#include <boost/algorithm/string/join.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/beast/core/string.hpp>
#include <charconv>

namespace zinnialedge::forwarding {

using boost::beast::iequals;

static constexpr std::string_view attemptHeader = "X-Relay-Attempt";
static constexpr std::string_view patienceHeader = "X-Relay-Patience-Ms";
static constexpr std::string_view answerWithinHeader = "X-Relay-Answer-Within-Ms";
static constexpr std::string_view latestAnswerHeader = "X-Relay-Latest-Answer-Ms";
static constexpr std::string_view versionHeader = "X-Relay-Version";
/// Header with the name of the tenant, whose access key the sender has checked.
static constexpr std::string_view tenantHeader = "X-Relay-Tenant";
/// Header with comma-separated indices of shards in the route's list of shards.
static constexpr std::string_view shardsHeader = "X-Relay-Shards";
static constexpr std::string_view sealsHeader = "X-Relay-Seals";
/// Header with comma-separated ids of leafs that are leaving.
static constexpr std::string_view leavingHeader = "X-Relay-Leaving";
/// Header with comma-separated limits of leafs, each an id, an equals sign and a number of requests per second.
static constexpr std::string_view limitsHeader = "X-Relay-Limits";

/// Header with comma-separated losses of leafs under the request, each a hash of the leaf and two ages in microseconds.
static constexpr std::string_view lossesHeader = "X-Relay-Losses";

// Headers of complete requests that one daemon passes on to another, and of their answers.
static constexpr std::string_view minimumVersionHeader = "X-Relay-Minimum-Version";
static constexpr std::string_view objectiveHeader = "X-Relay-Objective-Ms";
static constexpr std::string_view attemptsUsedHeader = "X-Relay-Attempts-Used";
/// Value 1 when the sender has counted the request for the budget of extra calls.
static constexpr std::string_view countedHeader = "X-Relay-Counted";
/// Age in microseconds of the latest call that tried a quarantined request again.
static constexpr std::string_view triedHeader = "X-Relay-Tried";
static constexpr std::string_view reasonHeader = "X-Relay-Reason";
static constexpr std::string_view errorHeader = "X-Relay-Error";
static constexpr std::string_view retryAfterHeader = "X-Relay-Retry-After-Ms";
static constexpr std::string_view missingHeader = "X-Relay-Missing";
static constexpr std::string_view sealHeader = "X-Relay-Seal";

/// Keep-alive timeout announced to other daemons; shorter than the time after which this daemon closes an idle connection.
static constexpr std::string_view keepAliveValue = "timeout=30";

bool isRelayHeader(std::string_view name)
{
    static constexpr std::string_view prefix = "X-Relay-";
    return iequals(name.substr(0, prefix.size()), prefix);
}

template <typename Number>
static Number parseNumber(std::string_view text)
{
    // Malformed numbers are parsed as zero, which is neither a valid version nor a valid time.
    Number number {};
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

/// Parses a time in milliseconds. Longer times than an hour, which no request takes, would overflow in arithmetic with points in time.
static std::chrono::milliseconds parseTime(std::string_view text)
{
    static constexpr std::chrono::milliseconds longest { std::chrono::hours { 1 } };
    return std::clamp(std::chrono::milliseconds { parseNumber<std::int64_t>(text) }, std::chrono::milliseconds::zero(), longest);
}

static std::vector<std::string> splitList(std::string_view text)
{
    std::vector<std::string> items;
    if (!text.empty())
        boost::algorithm::split(items, text, [](char character) { return character == ','; });
    return items;
}

static std::vector<std::size_t> parseShardIndices(std::string_view text)
{
    std::vector<std::size_t> indices;
    for (auto const& item : splitList(text))
        indices.push_back(parseNumber<std::size_t>(item));
    return indices;
}

static std::string formatShardIndices(std::vector<std::size_t> const& indices)
{
    std::string text;
    for (auto const index : indices)
        text += (text.empty() ? "" : ",") + std::to_string(index);
    return text;
}

static std::vector<leaf_limit_notice> parseLeafLimits(std::string_view text)
{
    std::vector<leaf_limit_notice> limits;
    for (auto const& item : splitList(text)) {
        auto const separator = item.rfind('=');
        // An entry without a valid number tells nothing.
        if (separator == std::string::npos)
            continue;
        leaf_limit_notice notice { item.substr(0, separator), 0 };
        auto const* const end = item.data() + item.size();
        auto const [last, failure] = std::from_chars(item.data() + separator + 1, end, notice.requestsPerSecond);
        if (failure == std::errc {} && last == end && leaf_rate_limit::isValid(notice.requestsPerSecond))
            limits.push_back(std::move(notice));
    }
    return limits;
}

static std::string formatLeafLimits(std::vector<leaf_limit_notice> const& limits)
{
    std::string text;
    for (auto const& each : limits)
        text += (text.empty() ? "" : ",") + each.leafId + "=" + std::to_string(each.requestsPerSecond);
    return text;
}

static std::vector<quarantine::loss_notice> parseLosses(std::string_view text)
{
    std::vector<quarantine::loss_notice> losses;
    for (auto const& item : splitList(text)) {
        std::vector<std::string> numbers;
        boost::algorithm::split(numbers, item, [](char character) { return character == '/'; });
        // An entry of another form tells nothing.
        if (numbers.size() == 3)
            losses.push_back({ parseNumber<std::uint64_t>(numbers[0]), std::chrono::microseconds { parseNumber<std::int64_t>(numbers[1]) }, std::chrono::microseconds { parseNumber<std::int64_t>(numbers[2]) } });
    }
    return losses;
}

static std::string formatLosses(std::vector<quarantine::loss_notice> const& losses)
{
    std::string text;
    for (auto const& each : losses) {
        if (each.isRefuted)
            continue;
        text += (text.empty() ? "" : ",") + std::to_string(each.leaf) + "/" + std::to_string(each.sentAge.count()) + "/" + std::to_string(each.lostAge.count());
    }
    return text;
}

static quarantine::suspect_notice& noticeOf(detoured_request& detoured)
{
    if (!detoured.known)
        detoured.known.emplace();
    return *detoured.known;
}

static bool parseDetourHeader(std::string_view name, std::string_view value, detoured_request& detoured)
{
    if (iequals(name, minimumVersionHeader))
        detoured.minimumVersion = parseNumber<std::uint64_t>(value);
    else if (iequals(name, objectiveHeader))
        detoured.objectiveLeft = parseTime(value);
    else if (iequals(name, attemptsUsedHeader))
        detoured.attemptsUsed = parseNumber<std::uint32_t>(value);
    else if (iequals(name, countedHeader))
        detoured.isCounted = value == "1";
    else if (iequals(name, lossesHeader))
        noticeOf(detoured).losses = parseLosses(value);
    else if (iequals(name, triedHeader))
        noticeOf(detoured).trialAge = std::chrono::microseconds { parseNumber<std::int64_t>(value) };
    else
        return false;
    return true;
}

static bool parseRelayHeader(std::string_view name, std::string_view value, relayed_request& relayed)
{
    if (iequals(name, answerWithinHeader))
        relayed.answerTimeLimit = parseTime(value);
    else if (iequals(name, latestAnswerHeader))
        relayed.latestAnswerTimeLimit = parseTime(value);
    else if (iequals(name, versionHeader))
        relayed.version = parseNumber<std::uint64_t>(value);
    else if (iequals(name, shardsHeader))
        relayed.shardIndices = parseShardIndices(value);
    else
        return false;
    return true;
}

static bool parseRequestHeader(std::string_view name, std::string_view value, caller_request& request)
{
    if (!isRelayHeader(name))
        return true;
    auto detoured = request.detoured.value_or(detoured_request {});
    auto relayed = request.relayed.value_or(relayed_request {});
    if (iequals(name, attemptHeader))
        request.attemptId = std::string { value };
    else if (iequals(name, patienceHeader))
        request.timeLimit = parseTime(value);
    else if (iequals(name, tenantHeader))
        request.tenant = std::string { value };
    else if (parseDetourHeader(name, value, detoured))
        request.detoured = detoured;
    else if (parseRelayHeader(name, value, relayed))
        request.relayed = std::move(relayed);
    return false;
}

static void writeCallHeaders(leaf_call const& call, std::optional<std::chrono::milliseconds> left, std::string& lines)
{
    appendHeader(lines, attemptHeader, call.request->attemptId);
    if (left)
        appendHeader(lines, patienceHeader, std::to_string(left->count()));
    if (!call.request->tenant.empty())
        appendHeader(lines, tenantHeader, call.request->tenant);
    if (call.detoured) {
        appendHeader(lines, minimumVersionHeader, std::to_string(call.detoured->minimumVersion));
        appendHeader(lines, objectiveHeader, std::to_string(call.detoured->objectiveLeft.count()));
        appendHeader(lines, attemptsUsedHeader, std::to_string(call.detoured->attemptsUsed));
        appendHeader(lines, countedHeader, call.detoured->isCounted ? "1" : "0");
        if (auto const& known = call.detoured->known) {
            appendHeader(lines, lossesHeader, formatLosses(known->losses));
            if (known->trialAge)
                appendHeader(lines, triedHeader, std::to_string(known->trialAge->count()));
        }
        return;
    }
    appendHeader(lines, answerWithinHeader, std::to_string(call.relayed->answerTimeLimit.count()));
    appendHeader(lines, latestAnswerHeader, std::to_string(call.relayed->latestAnswerTimeLimit.count()));
    appendHeader(lines, versionHeader, std::to_string(call.relayed->version));
    appendHeader(lines, shardsHeader, formatShardIndices(call.relayed->shardIndices));
}

static bool parseDetourOutcome(std::string_view name, std::string_view value, detour_outcome& outcome)
{
    if (iequals(name, reasonHeader))
        outcome.reason = std::string { value };
    else if (iequals(name, versionHeader))
        outcome.version = parseNumber<std::uint64_t>(value);
    else if (iequals(name, errorHeader))
        outcome.error = errors::parseErrorKind(value).value_or(errors::error_kind::internal);
    else if (iequals(name, retryAfterHeader))
        outcome.retryAfter = parseTime(value);
    else if (iequals(name, missingHeader))
        outcome.missingParts = parseNumber<std::size_t>(value);
    else
        return false;
    return true;
}

static bool parseReplyHeader(std::string_view name, std::string_view value, leaf_reply& reply)
{
    if (!isRelayHeader(name))
        return true;
    auto outcome = reply.detour.value_or(detour_outcome {});
    if (iequals(name, attemptHeader))
        reply.attemptId = std::string { value };
    else if (iequals(name, shardsHeader))
        reply.relayedShards = parseShardIndices(value);
    else if (iequals(name, sealsHeader))
        reply.relayedSeals = splitList(value);
    else if (iequals(name, sealHeader))
        reply.seal = std::string { value };
    else if (iequals(name, leavingHeader))
        reply.leavingLeafIds = splitList(value);
    else if (iequals(name, limitsHeader))
        reply.leafLimits = parseLeafLimits(value);
    else if (iequals(name, lossesHeader))
        reply.losses = parseLosses(value);
    else if (parseDetourOutcome(name, value, outcome))
        reply.detour = std::move(outcome);
    return false;
}

static void writeDetourOutcome(final_answer const& answer, std::string& lines)
{
    appendHeader(lines, reasonHeader, answer.reason);
    appendHeader(lines, versionHeader, std::to_string(answer.version));
    if (!answer.seal.empty())
        appendHeader(lines, sealHeader, answer.seal);
    if (answer.isMerged)
        appendHeader(lines, missingHeader, std::to_string(answer.missingParts));
    if (!answer.error)
        return;
    appendHeader(lines, errorHeader, errors::propertiesOf(answer.error->kind).name);
    if (answer.error->retryAfter)
        appendHeader(lines, retryAfterHeader, std::to_string(answer.error->retryAfter->count()));
}

static void writeAnswerHeaders(final_answer const& answer, std::string& lines)
{
    appendHeader(lines, attemptHeader, answer.attemptId);
    appendHeader(lines, "Keep-Alive", keepAliveValue);
    if (!answer.losses.empty())
        appendHeader(lines, lossesHeader, formatLosses(answer.losses));
    // A rejection of relayed shards needs the reason too: the requesting daemon avoids a daemon without links.
    if (answer.isForDetour || answer.error)
        writeDetourOutcome(answer, lines);
    if (!answer.leavingLeafIds.empty())
        appendHeader(lines, leavingHeader, boost::algorithm::join(answer.leavingLeafIds, ","));
    if (!answer.leafLimits.empty())
        appendHeader(lines, limitsHeader, formatLeafLimits(answer.leafLimits));
    if (!answer.isMerged)
        return;
    if (!answer.isForDetour)
        appendHeader(lines, shardsHeader, formatShardIndices(answer.partShards));
    appendHeader(lines, sealsHeader, boost::algorithm::join(answer.partSeals, ","));
}

edge_protocol makeRelayProtocol(decltype(edge_protocol::parseAccessHeader) const& parseAccessHeader)
{
    auto const parseAnyRequestHeader = [parseAccessHeader](std::string_view name, std::string_view value, caller_request& request) {
        return parseRequestHeader(name, value, request) && (!parseAccessHeader || parseAccessHeader(name, value, request));
    };
    return { parseAnyRequestHeader, writeCallHeaders, parseReplyHeader, writeAnswerHeaders, parseAccessHeader };
}

}

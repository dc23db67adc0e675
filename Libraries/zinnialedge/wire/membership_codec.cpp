#include "Libraries/zinnialedge/wire/membership_codec.h"

#include "Libraries/zinnialedge/wire/compact_bytes.h"
#include "Libraries/zinnialedge/wire/generated/peer_messages_types.h"
#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <cmath>

namespace zinnialedge::wire {

using errors::error_kind;
using membership::datagram;
using membership::datagram_kind;
using membership::member_status;
using membership::member_update;

/// Greater ages than this one, a year, tell nothing more and could overflow.
static constexpr std::chrono::milliseconds maximumAge { std::chrono::hours { 24 * 365 } };
static constexpr std::int64_t maximumCount { 1LL << 53U };

static generated::Place toThrift(model::endpoint const& endpoint)
{
    generated::Place encoded;
    encoded.__set_address(endpoint.address);
    encoded.__set_port(endpoint.port);
    return encoded;
}

static generated::MemberUpdate toThrift(member_update const& update)
{
    generated::MemberUpdate encoded;
    encoded.__set_name(update.record.name);
    encoded.__set_incarnation(static_cast<std::int64_t>(update.record.incarnation));
    encoded.__set_version(static_cast<std::int32_t>(update.version));
    encoded.__set_status(static_cast<std::int32_t>(update.status));
    if (!isSelfDeclared(update.status))
        return encoded;
    encoded.__set_partner(update.record.partner);
    encoded.__set_region(update.record.region);
    encoded.__set_dataCentre(update.record.dataCentre);
    encoded.__set_callers(toThrift(update.record.callerEndpoint));
    encoded.__set_peers(toThrift(update.record.peerEndpoint));
    encoded.__set_reachesNoLeafs(!update.reachesLeafs);
    if (update.strength)
        encoded.__set_strength(*update.strength);
    return encoded;
}

static generated::SuspectRequest toThrift(quarantine::suspect_notice const& notice)
{
    generated::SuspectRequest encoded;
    encoded.__set_digest(std::string { notice.request.bytes.begin(), notice.request.bytes.end() });
    for (auto const& loss : notice.losses) {
        generated::LeafLoss lost;
        lost.__set_leaf(static_cast<std::int64_t>(loss.leaf));
        lost.__set_sentMicrosecondsAgo(loss.sentAge.count());
        lost.__set_lostMicrosecondsAgo(loss.lostAge.count());
        lost.__set_isRefuted(loss.isRefuted);
        encoded.losses.push_back(lost);
    }
    encoded.__set_unansweredTrialCount(static_cast<std::int32_t>(notice.unansweredTrialCount));
    if (notice.trialAge)
        encoded.__set_triedMicrosecondsAgo(notice.trialAge->count());
    if (notice.clearedAge)
        encoded.__set_clearedMicrosecondsAgo(notice.clearedAge->count());
    return encoded;
}

static generated::UsageReport toThrift(allowances::usage_report const& report)
{
    generated::UsageReport encoded;
    encoded.__set_sequence(static_cast<std::int64_t>(report.sequence));
    encoded.__set_ageMs(report.age.count());
    encoded.__set_isAnswerWanted(report.isAnswerWanted);
    encoded.__set_areLevelsWanted(report.areLevelsWanted);
    encoded.__set_isEnding(report.isEnding);
    for (auto const& each : report.usages) {
        generated::TenantUsage usage;
        usage.__set_tenant(each.tenant);
        usage.__set_count(each.count);
        usage.__set_level(each.level);
        encoded.usages.push_back(std::move(usage));
    }
    for (auto const& each : report.acknowledgements) {
        generated::UsageAcknowledgement acknowledgement;
        acknowledgement.__set_member(static_cast<std::int64_t>(each.member));
        acknowledgement.__set_sequence(static_cast<std::int64_t>(each.sequence));
        acknowledgement.__set_earlierReports(static_cast<std::int64_t>(each.earlierReports));
        encoded.acknowledgements.push_back(acknowledgement);
    }
    return encoded;
}

std::string encodeDatagram(datagram const& content)
{
    generated::MembershipDatagram encoded;
    encoded.__set_kind(static_cast<std::int32_t>(content.kind));
    encoded.__set_sequence(static_cast<std::int64_t>(content.sequence));
    encoded.__set_sender(toThrift(content.sender));
    encoded.__set_configurationDigest(static_cast<std::int64_t>(content.configurationDigest));
    encoded.__set_subject(content.subject);
    if (content.subjectEndpoint.port != 0)
        encoded.__set_subjectPlace(toThrift(content.subjectEndpoint));
    for (auto const& update : content.updates)
        encoded.updates.push_back(toThrift(update));
    encoded.__set_isLastPage(content.isLastPage);
    for (auto const& notice : content.suspects)
        encoded.suspects.push_back(toThrift(notice));
    if (content.usage)
        encoded.__set_usage(toThrift(*content.usage));
    return serializeCompact(encoded);
}

static errors::error_or<model::endpoint> parseEndpoint(generated::Place const& endpoint)
{
    boost::system::error_code failure;
    boost::asio::ip::make_address(endpoint.address, failure);
    if (failure || endpoint.port < 1 || endpoint.port > std::numeric_limits<std::uint16_t>::max())
        return errors::makeError(error_kind::malformed_request, "an endpoint is not an IP address and a port");
    return model::endpoint { endpoint.address, static_cast<std::uint16_t>(endpoint.port) };
}

static errors::error_or<member_update> parseUpdate(generated::MemberUpdate const& encoded)
{
    if (encoded.name.empty() || encoded.status < 0 || encoded.status > static_cast<std::int32_t>(member_status::dead))
        return errors::makeError(error_kind::malformed_request, "a membership update has no name or an unknown status");
    member_update update;
    update.status = static_cast<member_status>(encoded.status);
    update.version = static_cast<std::uint32_t>(encoded.version);
    update.record.name = encoded.name;
    update.record.incarnation = static_cast<std::uint64_t>(encoded.incarnation);
    if (!isSelfDeclared(update.status))
        return update;
    auto const callers = parseEndpoint(encoded.callers);
    auto const peers = parseEndpoint(encoded.peers);
    if (!callers || !peers)
        return errors::makeError(error_kind::malformed_request, "a membership update has no valid endpoints");
    update.record.partner = encoded.partner;
    update.record.region = encoded.region;
    update.record.dataCentre = encoded.dataCentre;
    update.record.callerEndpoint = *callers;
    update.record.peerEndpoint = *peers;
    update.reachesLeafs = !encoded.reachesNoLeafs;
    // A value that cannot be a processor share counts as unknown: it must not exclude the other daemons from the group.
    if (encoded.__isset.strength && std::isfinite(encoded.strength) && encoded.strength > 0)
        update.strength = encoded.strength;
    update.record.isLeaving = update.status == member_status::leaving;
    return update;
}

static errors::error_or<quarantine::suspect_notice> parseSuspect(generated::SuspectRequest const& encoded)
{
    auto const digest = quarantine::digestFromBytes(encoded.digest);
    if (!digest)
        return errors::makeError(error_kind::malformed_request, "a suspect request has no valid digest");
    quarantine::suspect_notice notice { .request = *digest };
    for (auto const& lost : encoded.losses)
        notice.losses.push_back({ static_cast<std::uint64_t>(lost.leaf), std::chrono::microseconds { lost.sentMicrosecondsAgo }, std::chrono::microseconds { lost.lostMicrosecondsAgo }, lost.isRefuted });
    notice.unansweredTrialCount = static_cast<std::uint32_t>(std::max(encoded.unansweredTrialCount, 0));
    if (encoded.__isset.triedMicrosecondsAgo)
        notice.trialAge = std::chrono::microseconds { encoded.triedMicrosecondsAgo };
    if (encoded.__isset.clearedMicrosecondsAgo)
        notice.clearedAge = std::chrono::microseconds { encoded.clearedMicrosecondsAgo };
    return notice;
}

static errors::error_or<allowances::usage_report> parseUsageReport(generated::UsageReport const& encoded, member_update const& sender)
{
    if (!isSelfDeclared(sender.status) || encoded.sequence <= 0 || encoded.ageMs < 0)
        return errors::makeError(error_kind::malformed_request, "a usage report has no valid sender, sequence number or age");
    allowances::usage_report report;
    report.member = sender.record.name;
    report.endpoint = sender.record.peerEndpoint;
    report.sequence = static_cast<std::uint64_t>(encoded.sequence);
    report.age = std::chrono::milliseconds { std::min<std::int64_t>(encoded.ageMs, maximumAge.count()) };
    report.isAnswerWanted = encoded.isAnswerWanted;
    report.areLevelsWanted = encoded.areLevelsWanted;
    report.isEnding = encoded.isEnding;
    for (auto const& each : encoded.usages) {
        if (!std::isfinite(each.level) || std::abs(each.count) > maximumCount)
            return errors::makeError(error_kind::malformed_request, "a usage has no valid count or level");
        report.usages.push_back({ each.tenant, each.count, each.level });
    }
    for (auto const& each : encoded.acknowledgements)
        report.acknowledgements.push_back({ static_cast<std::uint64_t>(each.member), static_cast<std::uint64_t>(each.sequence), static_cast<std::uint64_t>(each.earlierReports) });
    return report;
}

static errors::error_or<datagram> parseDatagram(generated::MembershipDatagram const& decoded)
{
    if (decoded.kind < 0 || decoded.kind > static_cast<std::int32_t>(datagram_kind::usage_report))
        return errors::makeError(error_kind::malformed_request, "unknown datagram kind");
    auto const sender = parseUpdate(decoded.sender);
    if (!sender)
        return tl::unexpected(sender.error());
    datagram content;
    content.kind = static_cast<datagram_kind>(decoded.kind);
    content.sequence = static_cast<std::uint64_t>(decoded.sequence);
    content.sender = *sender;
    content.configurationDigest = static_cast<std::uint64_t>(decoded.configurationDigest);
    content.subject = decoded.subject;
    content.isLastPage = decoded.isLastPage;
    if (content.kind == datagram_kind::ping_request) {
        auto const endpoint = parseEndpoint(decoded.subjectPlace);
        if (!endpoint)
            return tl::unexpected(endpoint.error());
        content.subjectEndpoint = *endpoint;
    }
    for (auto const& encoded : decoded.updates) {
        auto update = parseUpdate(encoded);
        if (!update)
            return tl::unexpected(update.error());
        content.updates.push_back(std::move(*update));
    }
    for (auto const& encoded : decoded.suspects) {
        auto notice = parseSuspect(encoded);
        if (!notice)
            return tl::unexpected(notice.error());
        content.suspects.push_back(std::move(*notice));
    }
    if (content.kind == datagram_kind::usage_report) {
        auto report = parseUsageReport(decoded.usage, *sender);
        if (!report)
            return tl::unexpected(report.error());
        content.usage = std::move(*report);
    }
    return content;
}

errors::error_or<datagram> decodeDatagram(std::string_view bytes)
{
    auto const decoded = parseCompact<generated::MembershipDatagram>(bytes, "datagram");
    if (!decoded)
        return tl::unexpected(decoded.error());
    return parseDatagram(*decoded);
}

}

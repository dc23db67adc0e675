#include "Libraries/zinnialedge/membership/membership_engine.h"

#include "Kernel/verify.h"
#include <algorithm>
#include <cmath>

namespace zinnialedge::membership {

/// Number of times that an update is sent, as a multiple of log2 of the cluster size.
static constexpr double disseminationFactor = 3;
/// Suspicion timeout in probe intervals, as a multiple of log10 of the cluster size. The timeout leaves a refutation time to
/// propagate.
static constexpr double suspicionFactor = 3;
/// With fewer live members than this, the daemon contacts unknown daemons in each probe interval.
static constexpr std::size_t sufficientMembers = 3;
static constexpr std::size_t contactsPerInterval = 3;
static constexpr std::size_t immediateReceivers = 3;
/// Size in bytes of the datagram fields other than the sender, the subject and the updates.
static constexpr std::size_t fixedDatagramBytes = 64;
/// Bytes of a datagram that are kept free for suspects while there are any: room for the largest one.
static constexpr std::size_t reservedSuspectBytes = 280;
/// Number of suspects that changed last and are in every datagram, besides those whose turn it is.
static constexpr std::size_t latestSuspectCount = 2;
static constexpr std::chrono::milliseconds configurationExchangeInterval { 500 };
static constexpr std::chrono::milliseconds pageTimeout { 500 };
/// Delay between two page requests, which spreads the transfer of a large member table over time.
static constexpr std::chrono::milliseconds pageInterval { 50 };
static constexpr std::chrono::seconds assistedProbeRetention { 2 };

membership_engine::membership_engine(membership_settings settings, kernel::random_hook random)
    : m_settings(std::move(settings))
    , m_random(random)
    , m_self { .record = m_settings.self, .version = 1, .status = member_status::joining, .strength = m_settings.strength }
    , m_members(std::move(random))
{
}

membership_actions membership_engine::step(membership_event const& event, kernel::time_point now)
{
    if (!m_nextProbeAt) {
        m_nextProbeAt = now + std::chrono::milliseconds { m_random() % static_cast<std::uint64_t>(m_settings.probeInterval.count()) };
        m_nextContactAt = now;
    }
    if (now > *m_nextProbeAt + m_settings.probeInterval)
        restartTimersAfterPause(now);
    std::visit([&](auto const& alternative) { handle(alternative, now); }, event);
    attachSuspects(now);
    return std::exchange(m_actions, {});
}

kernel::time_point membership_engine::nextTimerTime() const
{
    if (!m_nextProbeAt)
        return {};
    auto next = std::min(*m_nextProbeAt, m_nextContactAt);
    if (m_probe && !m_probe->isIndirect)
        next = std::min(next, m_probe->sentAt + m_settings.acknowledgementTimeout);
    if (m_nextPageRequest)
        next = std::min(next, m_nextPageRequest->dueAt);
    for (auto const& [name, end] : m_suspicionEnds)
        next = std::min(next, end);
    return next;
}

void membership_engine::restartTimersAfterPause(kernel::time_point now)
{
    m_probe = std::nullopt;
    for (auto& [name, end] : m_suspicionEnds)
        end = now + suspicionTimeout();
    m_nextProbeAt = now;
}

bool membership_engine::hasFewMembers() const
{
    return m_members.liveCount() < sufficientMembers;
}

std::chrono::milliseconds membership_engine::suspicionTimeout() const
{
    auto const size = static_cast<double>(m_members.liveCount() + 1);
    auto const scaledTimeout = suspicionFactor * std::log10(size) * static_cast<double>(m_settings.probeInterval.count());
    return std::max(m_settings.minimumSuspicionTimeout, std::chrono::milliseconds { static_cast<std::int64_t>(scaledTimeout) });
}

std::size_t membership_engine::sendLimit() const
{
    return static_cast<std::size_t>(std::ceil(disseminationFactor * std::log2(static_cast<double>(m_members.liveCount() + 2))));
}

// Received datagrams and events.

void membership_engine::handle(datagram_received const& received, kernel::time_point now)
{
    auto const& content = received.content;
    if (content.sender.record.name == m_self.record.name && content.sender.record.incarnation == m_self.record.incarnation)
        return;
    applyUpdate(content.sender, now);
    for (auto const& update : content.updates) {
        applyUpdate(update, now);
        // The other members already know the updates of a table page, so these are not sent on.
        if (content.kind == datagram_kind::members_page)
            m_updates.remove(update.record.name);
    }
    compareDigest(received, now);
    if (!content.suspects.empty()) {
        suspects_received told;
        for (auto const& notice : content.suspects)
            told.suspects.push_back(quarantine::readNotice(notice, now));
        m_actions.emplace_back(std::move(told));
    }
    switch (content.kind) {
    case datagram_kind::ping:
        handlePing(received);
        break;
    case datagram_kind::acknowledgement:
        handleAcknowledgement(content, now);
        break;
    case datagram_kind::ping_request:
        handlePingRequest(received, now);
        break;
    case datagram_kind::members_request:
        handleMembersRequest(received);
        break;
    case datagram_kind::members_page:
        handleMembersPage(received, now);
        break;
    case datagram_kind::usage_report:
        if (content.usage)
            m_actions.emplace_back(usage_received { *content.usage });
        break;
    }
    if (!m_hasReceivedTable && now >= m_pageRequestedAt + pageTimeout)
        requestMembersPage(received.endpoint, now);
}

void membership_engine::handlePing(datagram_received const& received)
{
    auto acknowledgement = makeDatagram(datagram_kind::acknowledgement, received.content.sequence, m_self.record.name);
    addUpdates(acknowledgement, received.content.sender.record.name);
    send(received.endpoint, std::move(acknowledgement));
}

void membership_engine::handleAcknowledgement(datagram const& content, kernel::time_point now)
{
    if (m_probe && m_probe->sequence == content.sequence && m_probe->target == content.subject) {
        // An acknowledgement shows connectivity only as of the time of its ping. Datagrams that were queued while this process
        // was paused say nothing about the present.
        m_lastHeard = m_probe->sentAt;
        m_probe = std::nullopt;
        return;
    }
    auto const assisted = m_assistedProbes.find(content.sequence);
    if (assisted == m_assistedProbes.end())
        return;
    auto acknowledgement = makeDatagram(datagram_kind::acknowledgement, assisted->second.sequence, content.subject);
    send(assisted->second.origin, std::move(acknowledgement));
    m_assistedProbes.erase(assisted);
    std::erase_if(m_assistedProbes, [&](auto const& each) { return now >= each.second.sentAt + assistedProbeRetention; });
}

void membership_engine::handlePingRequest(datagram_received const& received, kernel::time_point now)
{
    auto const sequence = ++m_lastSequence;
    m_assistedProbes.emplace(sequence, assisted_probe { received.endpoint, received.content.sequence, now });
    auto ping = makeDatagram(datagram_kind::ping, sequence, received.content.subject);
    addUpdates(ping, received.content.subject);
    send(received.content.subjectEndpoint, std::move(ping));
}

void membership_engine::handleMembersRequest(datagram_received const& received)
{
    auto page = makeDatagram(datagram_kind::members_page, received.content.sequence, received.content.subject);
    auto remainingBytes = maximumDatagramBytes - fixedDatagramBytes - maximumEncodedBytes(page.sender) - page.subject.size();
    page.isLastPage = true;
    auto const& all = m_members.members();
    for (auto each = all.upper_bound(received.content.subject); each != all.end(); ++each) {
        if (!isSelfDeclared(each->second.status))
            continue;
        auto const bytes = maximumEncodedBytes(each->second);
        if (bytes > remainingBytes) {
            page.isLastPage = false;
            break;
        }
        remainingBytes -= bytes;
        page.updates.push_back(each->second);
    }
    send(received.endpoint, std::move(page));
}

void membership_engine::handleMembersPage(datagram_received const& received, kernel::time_point now)
{
    if (m_hasReceivedTable || received.content.subject != m_pageCursor)
        return;
    if (received.content.isLastPage) {
        m_hasReceivedTable = true;
        return;
    }
    if (received.content.updates.empty())
        return;
    m_pageCursor = received.content.updates.back().record.name;
    m_nextPageRequest = scheduled_page_request { received.endpoint, now + pageInterval };
}

void membership_engine::requestMembersPage(model::endpoint const& endpoint, kernel::time_point now)
{
    m_pageRequestedAt = now;
    m_nextPageRequest = std::nullopt;
    send(endpoint, makeDatagram(datagram_kind::members_request, 0, m_pageCursor));
}

void membership_engine::compareDigest(datagram_received const& received, kernel::time_point now)
{
    bool const isDigestEqual = received.content.configurationDigest == m_configurationDigest;
    if (isDigestEqual || now < m_nextConfigurationExchangeAt || received.content.sender.status == member_status::dead)
        return;
    m_nextConfigurationExchangeAt = now + configurationExchangeInterval;
    m_actions.emplace_back(configuration_difference_found { received.endpoint });
}

void membership_engine::handle(daemon_registered const& registered, kernel::time_point now)
{
    if (registered.record.name == m_self.record.name)
        return;
    m_registrations[registered.record.name] = registered.record;
    if (hasFewMembers())
        m_nextContactAt = now;
}

void membership_engine::handle(daemon_unregistered const& unregistered, kernel::time_point)
{
    m_registrations.erase(unregistered.name);
}

void membership_engine::handle(status_declared const& declared, kernel::time_point)
{
    VERIFY(isSelfDeclared(declared.status));
    if (m_self.status == declared.status)
        return;
    m_self.status = declared.status;
    m_self.record.isLeaving = declared.status == member_status::leaving;
    ++m_self.version;
    announceImmediately({});
}

void membership_engine::handle(leaf_reach_changed const& changed, kernel::time_point)
{
    if (std::exchange(m_self.reachesLeafs, changed.reachesLeafs) == changed.reachesLeafs)
        return;
    ++m_self.version;
    announceImmediately({});
}

void membership_engine::handle(configuration_changed const& changed, kernel::time_point)
{
    m_configurationDigest = changed.digest;
}

void membership_engine::handle(suspects_changed const& changed, kernel::time_point)
{
    m_suspects = changed.suspects;
    m_nextSuspect = 0;
    announceImmediately({});
}

void membership_engine::handle(process_stopping const&, kernel::time_point)
{
    m_self.status = member_status::dead;
    for (std::size_t sentCount = 0; sentCount < sendLimit(); ++sentCount) {
        auto const name = m_members.pickRandomLive({});
        if (!name)
            return;
        send(m_members.find(*name)->record.peerEndpoint, makeDatagram(datagram_kind::acknowledgement, 0, m_self.record.name));
    }
}

// Member states.

void membership_engine::applyUpdate(member_update const& update, kernel::time_point now)
{
    if (update.record.name == m_self.record.name) {
        refuteIfWrong(update);
        return;
    }
    for (auto const& name : m_members.apply(update, m_self.record.dataCentre, now)) {
        auto const& member = *m_members.find(name);
        m_updates.add(name);
        if (member.status == member_status::suspect)
            m_suspicionEnds.insert_or_assign(name, now + suspicionTimeout());
        else
            m_suspicionEnds.erase(name);
        if (m_probe && m_probe->target == name && member.status == member_status::dead)
            m_probe = std::nullopt;
        m_actions.emplace_back(member_changed { member.record, member.status, member.reachesLeafs });
    }
}

void membership_engine::refuteIfWrong(member_update const& update)
{
    bool const isThisIncarnation = update.record.incarnation == m_self.record.incarnation;
    bool const isRefutable = !isSelfDeclared(update.status) && update.version >= m_self.version;
    if (!isThisIncarnation || !isRefutable || m_self.status == member_status::dead)
        return;
    m_self.version = update.version + 1;
    announceImmediately({});
}

void membership_engine::beginSuspicion(std::string const& name, kernel::time_point now)
{
    auto const* known = m_members.find(name);
    if (!known || !isSelfDeclared(known->status))
        return;
    auto update = *known;
    update.status = member_status::suspect;
    applyUpdate(update, now);
    announceImmediately(name);
}

void membership_engine::announceImmediately(std::string const& excluded)
{
    // Updates that originate at this daemon are sent to a few members immediately; probes carry them to the rest.
    for (std::size_t sentCount = 0; sentCount < immediateReceivers; ++sentCount) {
        auto const name = m_members.pickRandomLive(excluded);
        if (!name)
            return;
        auto ping = makeDatagram(datagram_kind::ping, 0, *name);
        addUpdates(ping, *name);
        send(m_members.find(*name)->record.peerEndpoint, std::move(ping));
    }
}

void membership_engine::expireSuspicions(kernel::time_point now)
{
    std::vector<std::string> expired;
    for (auto const& [name, end] : m_suspicionEnds) {
        if (end <= now)
            expired.push_back(name);
    }
    for (auto const& name : expired) {
        auto update = *m_members.find(name);
        update.status = member_status::dead;
        applyUpdate(update, now);
    }
}

// Failure detection.

void membership_engine::handle(membership_timer_due const&, kernel::time_point now)
{
    advanceProbe(now);
    expireSuspicions(now);
    if (now >= *m_nextProbeAt)
        beginProbe(now);
    if (now >= m_nextContactAt)
        pingUnknownDaemons(now);
    if (m_nextPageRequest && now >= m_nextPageRequest->dueAt)
        requestMembersPage(m_nextPageRequest->endpoint, now);
}

void membership_engine::advanceProbe(kernel::time_point now)
{
    if (!m_probe)
        return;
    if (now >= *m_nextProbeAt) {
        auto const target = m_probe->target;
        m_probe = std::nullopt;
        beginSuspicion(target, now);
    } else if (!m_probe->isIndirect && now >= m_probe->sentAt + m_settings.acknowledgementTimeout) {
        m_probe->isIndirect = true;
        requestIndirectPings();
    }
}

void membership_engine::beginProbe(kernel::time_point now)
{
    m_nextProbeAt = now + m_settings.probeInterval;
    m_members.evictDead(now - m_settings.deadRetention);
    auto const target = m_members.takeNextToProbe();
    if (!target)
        return;
    m_probe = probe { *target, ++m_lastSequence, now, false };
    auto ping = makeDatagram(datagram_kind::ping, m_probe->sequence, *target);
    addUpdates(ping, *target);
    send(m_members.find(*target)->record.peerEndpoint, std::move(ping));
}

void membership_engine::requestIndirectPings()
{
    std::set<std::string> intermediaries;
    for (std::size_t attempt = 0; attempt < 2 * m_settings.indirectProbeCount && intermediaries.size() < m_settings.indirectProbeCount; ++attempt) {
        if (auto const intermediary = m_members.pickRandomLive(m_probe->target))
            intermediaries.insert(*intermediary);
    }
    for (auto const& intermediary : intermediaries) {
        auto request = makeDatagram(datagram_kind::ping_request, m_probe->sequence, m_probe->target);
        request.subjectEndpoint = m_members.find(m_probe->target)->record.peerEndpoint;
        send(m_members.find(intermediary)->record.peerEndpoint, std::move(request));
    }
    // The target is also pinged directly a second time, in case the first datagram was lost.
    auto ping = makeDatagram(datagram_kind::ping, m_probe->sequence, m_probe->target);
    send(m_members.find(m_probe->target)->record.peerEndpoint, std::move(ping));
}

void membership_engine::pingUnknownDaemons(kernel::time_point now)
{
    m_nextContactAt = now + (hasFewMembers() ? m_settings.probeInterval : m_settings.contactInterval);
    std::set<model::endpoint> unknown { m_settings.seeds.begin(), m_settings.seeds.end() };
    for (auto const& [name, record] : m_registrations) {
        if (!record.isLeaving)
            unknown.insert(record.peerEndpoint);
    }
    for (auto const& name : m_members.deadNames())
        unknown.insert(m_members.find(name)->record.peerEndpoint);
    unknown.erase(m_self.record.peerEndpoint);
    std::erase_if(unknown, [this](auto const& endpoint) { return m_members.isLiveAt(endpoint); });
    std::vector<model::endpoint> endpoints { unknown.begin(), unknown.end() };
    for (std::size_t sentCount = 0; sentCount < (hasFewMembers() ? contactsPerInterval : 1) && !endpoints.empty(); ++sentCount) {
        auto const chosen = endpoints.begin() + static_cast<std::ptrdiff_t>(m_random() % endpoints.size());
        auto ping = makeDatagram(datagram_kind::ping, 0, {});
        // The daemon at this endpoint may not know that other members consider it dead; the update lets the daemon refute.
        for (auto const& name : m_members.deadNames()) {
            if (m_members.find(name)->record.peerEndpoint == *chosen)
                ping.updates.push_back(*m_members.find(name));
        }
        send(*chosen, std::move(ping));
        endpoints.erase(chosen);
    }
}

// Sent datagrams.

datagram membership_engine::makeDatagram(datagram_kind kind, std::uint64_t sequence, std::string subject) const
{
    datagram result;
    result.kind = kind;
    result.sequence = sequence;
    result.sender = m_self;
    result.configurationDigest = m_configurationDigest;
    result.subject = std::move(subject);
    return result;
}

void membership_engine::addUpdates(datagram& content, std::string const& receiver)
{
    auto remainingBytes = maximumDatagramBytes - fixedDatagramBytes - maximumEncodedBytes(content.sender) - content.subject.size() - (m_suspects.empty() ? 0 : reservedSuspectBytes);
    auto const add = [&](member_update const& update) {
        auto const bytes = maximumEncodedBytes(update);
        if (bytes > remainingBytes)
            return false;
        remainingBytes -= bytes;
        content.updates.push_back(update);
        return true;
    };
    // A receiver that is considered suspect or dead gets the update about itself first, so that the receiver can refute at
    // once.
    auto const* known = m_members.find(receiver);
    if (known && !isSelfDeclared(known->status))
        add(*known);
    m_updates.offerForSending(sendLimit(), [&](std::string const& name) {
        if (name == m_self.record.name || name == receiver)
            return true;
        auto const* member = m_members.find(name);
        return !member || add(*member);
    });
    // Each datagram also carries one table entry in turn, which repairs updates that gossip has lost.
    if (auto const* next = m_members.findNextDeclared(m_tableCursor)) {
        m_tableCursor = next->record.name;
        add(*next);
    }
}

void membership_engine::attachSuspects(kernel::time_point now)
{
    if (m_suspects.empty())
        return;
    for (auto& action : m_actions) {
        auto* const sent = std::get_if<send_datagram>(&action);
        // Reports are frequent and as large as a datagram may be.
        if (!sent || sent->content.kind == datagram_kind::usage_report)
            continue;
        auto& content = sent->content;
        auto usedBytes = fixedDatagramBytes + maximumEncodedBytes(content.sender) + content.subject.size();
        for (auto const& update : content.updates)
            usedBytes += maximumEncodedBytes(update);
        for (std::size_t count = 0; count < m_suspects.size(); ++count) {
            auto const position = count < latestSuspectCount ? count : latestSuspectCount + (m_nextSuspect + count - latestSuspectCount) % (m_suspects.size() - latestSuspectCount);
            auto notice = quarantine::makeNotice(m_suspects[position], now);
            usedBytes += quarantine::maximumEncodedBytes(notice);
            if (usedBytes > maximumDatagramBytes)
                break;
            content.suspects.push_back(std::move(notice));
        }
        m_nextSuspect += content.suspects.size();
    }
}

void membership_engine::send(model::endpoint const& endpoint, datagram content)
{
    m_actions.emplace_back(send_datagram { endpoint, std::move(content) });
}

}

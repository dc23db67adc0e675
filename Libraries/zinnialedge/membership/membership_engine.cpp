#include "Libraries/zinnialedge/membership/membership_engine.h"

#include "Kernel/verify.h"
#include <algorithm>
#include <cmath>

namespace zinnialedge::membership {

/// An update is told this many times log2 of the number of members.
static constexpr double tellFactor = 3;
/// A suspicion lasts so many probe intervals times log10 of the number of members, so that a refutation can spread.
static constexpr double suspicionFactor = 3;
/// With fewer living members, others are looked for in each interval.
static constexpr std::size_t enoughMembers = 3;
static constexpr std::size_t contactsAtOnce = 3;
static constexpr std::size_t tellReceivers = 3;
/// Bytes of a datagram besides sender, subject and updates.
static constexpr std::size_t fixedDatagramBytes = 64;
static constexpr std::chrono::milliseconds exchangeInterval { 500 };
static constexpr std::chrono::milliseconds pageTimeout { 500 };
/// Spreads the transfer of a large table.
static constexpr std::chrono::milliseconds pageInterval { 50 };
static constexpr std::chrono::seconds assistedProbeKept { 2 };

membership_engine::membership_engine(membership_settings settings, kernel::random_hook random)
    : m_settings(std::move(settings))
    , m_random(random)
    , m_self { m_settings.self, 1, member_status::joining }
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
    std::visit([&](auto const& each) { handle(each, now); }, event);
    return std::exchange(m_actions, {});
}

kernel::time_point membership_engine::nextTimer() const
{
    if (!m_nextProbeAt)
        return {};
    auto next = std::min(*m_nextProbeAt, m_nextContactAt);
    if (m_probe && !m_probe->isIndirect)
        next = std::min(next, m_probe->sentAt + m_settings.acknowledgementTimeout);
    if (m_nextPage)
        next = std::min(next, m_nextPage->at);
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

bool membership_engine::knowsFew() const
{
    return m_members.livingCount() < enoughMembers;
}

std::chrono::milliseconds membership_engine::suspicionTimeout() const
{
    auto const size = static_cast<double>(m_members.livingCount() + 1);
    auto const scaled = suspicionFactor * std::log10(size) * static_cast<double>(m_settings.probeInterval.count());
    return std::max(m_settings.shortestSuspicion, std::chrono::milliseconds { static_cast<std::int64_t>(scaled) });
}

std::size_t membership_engine::tellLimit() const
{
    return static_cast<std::size_t>(std::ceil(tellFactor * std::log2(static_cast<double>(m_members.livingCount() + 2))));
}

// What arrives.

void membership_engine::handle(datagram_received const& received, kernel::time_point now)
{
    auto const& content = received.content;
    if (content.sender.record.name == m_self.record.name && content.sender.record.incarnation == m_self.record.incarnation)
        return;
    learn(content.sender, now);
    for (auto const& update : content.updates) {
        learn(update, now);
        // What a table holds is known to the others already.
        if (content.kind == datagram_kind::members_page)
            m_updates.remove(update.record.name);
    }
    noteDigest(received, now);
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
    case datagram_kind::members_asked:
        handleMembersAsked(received);
        break;
    case datagram_kind::members_page:
        handleMembersPage(received, now);
        break;
    }
    if (!m_hasTable && now >= m_pageAskedAt + pageTimeout)
        askForMembers(received.place, now);
}

void membership_engine::handlePing(datagram_received const& received)
{
    auto answer = makeDatagram(datagram_kind::acknowledgement, received.content.sequence, m_self.record.name);
    addUpdates(answer, received.content.sender.record.name);
    send(received.place, std::move(answer));
}

void membership_engine::handleAcknowledgement(datagram const& content, kernel::time_point now)
{
    if (m_probe && m_probe->sequence == content.sequence && m_probe->target == content.subject) {
        // Datagrams that waited while this process was paused prove nothing; an answer to a later ping does.
        m_lastHeard = m_probe->sentAt;
        m_probe = std::nullopt;
        return;
    }
    auto const assisted = m_assisted.find(content.sequence);
    if (assisted == m_assisted.end())
        return;
    auto answer = makeDatagram(datagram_kind::acknowledgement, assisted->second.sequence, content.subject);
    send(assisted->second.origin, std::move(answer));
    m_assisted.erase(assisted);
    std::erase_if(m_assisted, [&](auto const& each) { return now >= each.second.sentAt + assistedProbeKept; });
}

void membership_engine::handlePingRequest(datagram_received const& received, kernel::time_point now)
{
    auto const sequence = ++m_lastSequence;
    m_assisted.emplace(sequence, assisted_probe { received.place, received.content.sequence, now });
    auto ping = makeDatagram(datagram_kind::ping, sequence, received.content.subject);
    addUpdates(ping, received.content.subject);
    send(received.content.subjectPlace, std::move(ping));
}

void membership_engine::handleMembersAsked(datagram_received const& received)
{
    auto page = makeDatagram(datagram_kind::members_page, received.content.sequence, received.content.subject);
    auto room = maximumDatagramBytes - fixedDatagramBytes - encodedBytes(page.sender) - page.subject.size();
    page.isLastPage = true;
    auto const& all = m_members.all();
    for (auto each = all.upper_bound(received.content.subject); each != all.end(); ++each) {
        if (!isDeclared(each->second.status))
            continue;
        auto const bytes = encodedBytes(each->second);
        if (bytes > room) {
            page.isLastPage = false;
            break;
        }
        room -= bytes;
        page.updates.push_back(each->second);
    }
    send(received.place, std::move(page));
}

void membership_engine::handleMembersPage(datagram_received const& received, kernel::time_point now)
{
    if (m_hasTable || received.content.subject != m_pageCursor)
        return;
    if (received.content.isLastPage) {
        m_hasTable = true;
        return;
    }
    if (received.content.updates.empty())
        return;
    m_pageCursor = received.content.updates.back().record.name;
    m_nextPage = waiting_page { received.place, now + pageInterval };
}

void membership_engine::askForMembers(model::endpoint const& place, kernel::time_point now)
{
    m_pageAskedAt = now;
    m_nextPage = std::nullopt;
    send(place, makeDatagram(datagram_kind::members_asked, 0, m_pageCursor));
}

void membership_engine::noteDigest(datagram_received const& received, kernel::time_point now)
{
    bool const isSame = received.content.configurationDigest == m_digest;
    if (isSame || now < m_nextExchangeAt || received.content.sender.status == member_status::dead)
        return;
    m_nextExchangeAt = now + exchangeInterval;
    m_actions.emplace_back(configuration_differs { received.place });
}

void membership_engine::handle(daemon_registered const& registered, kernel::time_point now)
{
    if (registered.record.name == m_self.record.name)
        return;
    m_registered[registered.record.name] = registered.record;
    if (knowsFew())
        m_nextContactAt = now;
}

void membership_engine::handle(daemon_unregistered const& unregistered, kernel::time_point)
{
    m_registered.erase(unregistered.name);
}

void membership_engine::handle(status_declared const& declared, kernel::time_point)
{
    VERIFY(isDeclared(declared.status));
    if (m_self.status == declared.status)
        return;
    m_self.status = declared.status;
    m_self.record.isLeaving = declared.status == member_status::leaving;
    ++m_self.version;
    tellAtOnce({});
}

void membership_engine::handle(configuration_changed const& changed, kernel::time_point)
{
    m_digest = changed.digest;
}

void membership_engine::handle(process_stopping const&, kernel::time_point)
{
    m_self.status = member_status::dead;
    for (std::size_t sent = 0; sent < tellLimit(); ++sent) {
        auto const name = m_members.pick({});
        if (!name)
            return;
        send(m_members.find(*name)->record.peers, makeDatagram(datagram_kind::acknowledgement, 0, m_self.record.name));
    }
}

// What is known of the others.

void membership_engine::learn(member_update const& update, kernel::time_point now)
{
    if (update.record.name == m_self.record.name) {
        refute(update);
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
        m_actions.emplace_back(member_changed { member.record, member.status });
    }
}

void membership_engine::refute(member_update const& update)
{
    bool const isOfThisProcess = update.record.incarnation == m_self.record.incarnation;
    bool const isWrong = !isDeclared(update.status) && update.version >= m_self.version;
    if (!isOfThisProcess || !isWrong || m_self.status == member_status::dead)
        return;
    m_self.version = update.version + 1;
    tellAtOnce({});
}

void membership_engine::suspect(std::string const& name, kernel::time_point now)
{
    auto const* known = m_members.find(name);
    if (!known || !isDeclared(known->status))
        return;
    auto update = *known;
    update.status = member_status::suspect;
    learn(update, now);
    tellAtOnce(name);
}

void membership_engine::tellAtOnce(std::string const& about)
{
    // A head start for what began here; the rest of the way it rides on the probes.
    for (std::size_t sent = 0; sent < tellReceivers; ++sent) {
        auto const name = m_members.pick(about);
        if (!name)
            return;
        auto ping = makeDatagram(datagram_kind::ping, 0, *name);
        addUpdates(ping, *name);
        send(m_members.find(*name)->record.peers, std::move(ping));
    }
}

void membership_engine::endSuspicions(kernel::time_point now)
{
    std::vector<std::string> ended;
    for (auto const& [name, end] : m_suspicionEnds) {
        if (end <= now)
            ended.push_back(name);
    }
    for (auto const& name : ended) {
        auto update = *m_members.find(name);
        update.status = member_status::dead;
        learn(update, now);
    }
}

// Probes.

void membership_engine::handle(membership_timer_due const&, kernel::time_point now)
{
    advanceProbe(now);
    endSuspicions(now);
    if (now >= *m_nextProbeAt)
        beginProbe(now);
    if (now >= m_nextContactAt)
        pingUnknownDaemons(now);
    if (m_nextPage && now >= m_nextPage->at)
        askForMembers(m_nextPage->place, now);
}

void membership_engine::advanceProbe(kernel::time_point now)
{
    if (!m_probe)
        return;
    if (now >= *m_nextProbeAt) {
        auto const target = m_probe->target;
        m_probe = std::nullopt;
        suspect(target, now);
    } else if (!m_probe->isIndirect && now >= m_probe->sentAt + m_settings.acknowledgementTimeout) {
        m_probe->isIndirect = true;
        askOthersToPing();
    }
}

void membership_engine::beginProbe(kernel::time_point now)
{
    m_nextProbeAt = now + m_settings.probeInterval;
    m_members.forgetDead(now - m_settings.deadRemembered);
    auto const target = m_members.nextToProbe();
    if (!target)
        return;
    m_probe = probe { *target, ++m_lastSequence, now, false };
    auto ping = makeDatagram(datagram_kind::ping, m_probe->sequence, *target);
    addUpdates(ping, *target);
    send(m_members.find(*target)->record.peers, std::move(ping));
}

void membership_engine::askOthersToPing()
{
    std::set<std::string> intermediaries;
    for (std::size_t attempt = 0; attempt < 2 * m_settings.indirectProbes && intermediaries.size() < m_settings.indirectProbes; ++attempt) {
        if (auto const intermediary = m_members.pick(m_probe->target))
            intermediaries.insert(*intermediary);
    }
    for (auto const& intermediary : intermediaries) {
        auto request = makeDatagram(datagram_kind::ping_request, m_probe->sequence, m_probe->target);
        request.subjectPlace = m_members.find(m_probe->target)->record.peers;
        send(m_members.find(intermediary)->record.peers, std::move(request));
    }
    // A second direct try, in case one datagram was lost.
    auto ping = makeDatagram(datagram_kind::ping, m_probe->sequence, m_probe->target);
    send(m_members.find(m_probe->target)->record.peers, std::move(ping));
}

void membership_engine::pingUnknownDaemons(kernel::time_point now)
{
    m_nextContactAt = now + (knowsFew() ? m_settings.probeInterval : m_settings.contactInterval);
    std::set<model::endpoint> unknown { m_settings.seeds.begin(), m_settings.seeds.end() };
    for (auto const& [name, record] : m_registered) {
        if (!record.isLeaving)
            unknown.insert(record.peers);
    }
    for (auto const& name : m_members.dead())
        unknown.insert(m_members.find(name)->record.peers);
    unknown.erase(m_self.record.peers);
    std::erase_if(unknown, [this](auto const& place) { return m_members.isLivingAt(place); });
    std::vector<model::endpoint> places { unknown.begin(), unknown.end() };
    for (std::size_t sent = 0; sent < (knowsFew() ? contactsAtOnce : 1) && !places.empty(); ++sent) {
        auto const chosen = places.begin() + static_cast<std::ptrdiff_t>(m_random() % places.size());
        auto ping = makeDatagram(datagram_kind::ping, 0, {});
        // The one at that place may not know that it is held to be dead.
        for (auto const& name : m_members.dead()) {
            if (m_members.find(name)->record.peers == *chosen)
                ping.updates.push_back(*m_members.find(name));
        }
        send(*chosen, std::move(ping));
        places.erase(chosen);
    }
}

// What is sent.

datagram membership_engine::makeDatagram(datagram_kind kind, std::uint64_t sequence, std::string subject) const
{
    datagram made;
    made.kind = kind;
    made.sequence = sequence;
    made.sender = m_self;
    made.configurationDigest = m_digest;
    made.subject = std::move(subject);
    return made;
}

void membership_engine::addUpdates(datagram& content, std::string const& receiver)
{
    auto room = maximumDatagramBytes - fixedDatagramBytes - encodedBytes(content.sender) - content.subject.size();
    auto const add = [&](member_update const& update) {
        auto const bytes = encodedBytes(update);
        if (bytes > room)
            return false;
        room -= bytes;
        content.updates.push_back(update);
        return true;
    };
    // Whoever is held to be suspect or dead hears it first, so that it can refute at once.
    auto const* known = m_members.find(receiver);
    if (known && !isDeclared(known->status))
        add(*known);
    m_updates.tell(tellLimit(), [&](std::string const& name) {
        if (name == m_self.record.name || name == receiver)
            return true;
        auto const* member = m_members.find(name);
        return !member || add(*member);
    });
    // One entry of the table in turn repairs what gossip lost.
    if (auto const* next = m_members.following(m_tableCursor)) {
        m_tableCursor = next->record.name;
        add(*next);
    }
}

void membership_engine::send(model::endpoint const& place, datagram content)
{
    m_actions.emplace_back(send_datagram { place, std::move(content) });
}

}

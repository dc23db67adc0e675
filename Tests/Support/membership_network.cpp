#include "Tests/Support/membership_network.h"

#include "Libraries/zinnialedge/wire/membership_codec.h"
#include <algorithm>

namespace zinnialedge::tests {

using namespace membership;

membership_network::membership_network(std::uint64_t seed)
    : m_random(kernel::makeSeededRandom(seed))
{
}

model::endpoint membership_network::endpointOf(std::uint16_t index)
{
    return { "10.0.0.1", index };
}

double membership_network::drawUniform()
{
    return static_cast<double>(m_random() >> 11U) * 0x1.0p-53;
}

membership_network::node& membership_network::start(std::string const& name, std::uint16_t index, std::vector<std::uint16_t> const& seeds, std::string const& dataCentre, std::optional<double> strength)
{
    membership_settings settings;
    settings.self = { name, "suva", "suva", dataCentre, ++m_lastIncarnation, { "10.0.0.1", index }, endpointOf(index), false };
    settings.strength = strength;
    for (auto const seed : seeds)
        settings.seeds.push_back(endpointOf(seed));
    auto& startedNode = m_nodes[index];
    startedNode = {};
    startedNode.engine = std::make_unique<membership_engine>(std::move(settings), kernel::makeSeededRandom(m_random()));
    give(index, status_declared { member_status::serving });
    return startedNode;
}

void membership_network::give(std::uint16_t index, membership_event const& event)
{
    performActions(index, m_nodes.at(index).engine->step(event, m_now));
}

void membership_network::passOnSuspects(std::uint16_t index, suspects_received const& told)
{
    auto& suspects = m_nodes.at(index).toldSuspects;
    bool isNew = false;
    for (auto const& each : told.suspects)
        isNew |= suspects.emplace(each.request, each).second;
    if (!isNew)
        return;
    suspects_changed changed;
    for (auto const& [request, each] : suspects)
        changed.suspects.push_back(each);
    give(index, changed);
}

void membership_network::performActions(std::uint16_t index, membership_actions const& actions)
{
    auto& node = m_nodes.at(index);
    for (auto const& action : actions) {
        if (auto const* sentDatagram = std::get_if<send_datagram>(&action)) {
            sendDatagram(index, *sentDatagram);
        } else if (auto const* told = std::get_if<suspects_received>(&action)) {
            passOnSuspects(index, *told);
        } else if (auto const* memberChange = std::get_if<member_changed>(&action)) {
            node.seen[memberChange->record.name] = memberChange->status;
            node.reportedDeathCount += memberChange->status == member_status::dead ? 1 : 0;
        }
    }
    m_timers.push({ node.engine->nextTimerTime(), index });
}

void membership_network::sendDatagram(std::uint16_t from, send_datagram const& sentDatagram)
{
    auto& node = m_nodes.at(from);
    ++node.sentDatagramCount;
    if (shouldCountBytes) {
        auto const bytes = wire::encodeDatagram(sentDatagram.content).size();
        node.sentByteCount += bytes;
        auto const receiver = m_nodes.find(sentDatagram.endpoint.port);
        bool const isRemote = receiver != m_nodes.end() && receiver->second.engine->self().record.dataCentre != node.engine->self().record.dataCentre;
        node.remoteByteCount += isRemote ? bytes : 0;
    }
    auto const content = std::make_shared<datagram const>(sentDatagram.content);
    int const deliveryCount = drawUniform() < duplicates ? 2 : 1;
    for (int deliveryIndex = 0; deliveryIndex < deliveryCount; ++deliveryIndex) {
        if (drawUniform() < loss)
            continue;
        auto const delay = std::chrono::duration_cast<kernel::duration>(shortestDelay + (longestDelay - shortestDelay) * drawUniform());
        m_deliveries.push({ m_now + delay, ++m_lastSequence, from, sentDatagram.endpoint.port, content });
    }
}

void membership_network::deliverNextDatagram()
{
    auto const next = m_deliveries.top();
    m_deliveries.pop();
    m_now = std::max(m_now, next.at);
    auto const found = m_nodes.find(next.to);
    if (found == m_nodes.end() || !found->second.isRunning || found->second.side != m_nodes.at(next.from).side)
        return;
    // The socket of a frozen process keeps datagrams until the process resumes, so delivery is tried again after 10 ms.
    if (found->second.isFrozen)
        m_deliveries.push({ m_now + std::chrono::milliseconds { 10 }, next.sequence, next.from, next.to, next.content });
    else
        performActions(next.to, found->second.engine->step(datagram_received { endpointOf(next.from), *next.content }, m_now));
}

void membership_network::run(kernel::duration span)
{
    (void)runUntil([] { return false; }, span);
}

std::optional<kernel::duration> membership_network::runUntil(std::function<bool()> const& condition, kernel::duration bound)
{
    auto const startTime = m_now;
    auto const end = m_now + bound;
    while (!condition()) {
        bool const isDelivery = !m_deliveries.empty() && (m_timers.empty() || m_deliveries.top().at <= m_timers.top().at);
        auto const at = isDelivery ? m_deliveries.top().at : m_timers.top().at;
        if (at > end) {
            m_now = end;
            return condition() ? std::optional { m_now - startTime } : std::nullopt;
        }
        if (isDelivery) {
            deliverNextDatagram();
            continue;
        }
        auto const next = m_timers.top();
        m_timers.pop();
        auto& node = m_nodes.at(next.node);
        m_now = std::max(m_now, next.at);
        if (node.isFrozen)
            m_timers.push({ m_now + std::chrono::milliseconds { 10 }, next.node });
        else if (node.isRunning && node.engine->nextTimerTime() <= m_now)
            give(next.node, membership_timer_due {});
    }
    return m_now - startTime;
}

bool membership_network::allNodesReport(std::string const& name, member_status status) const
{
    return std::all_of(m_nodes.begin(), m_nodes.end(), [&](auto const& each) {
        auto const& node = each.second;
        if (!node.isRunning || node.isFrozen || node.engine->self().record.name == name)
            return true;
        auto const found = node.seen.find(name);
        return found != node.seen.end() && found->second == status;
    });
}

}

#include "Tests/Soak/link_faults.h"

#include <algorithm>

namespace zinnialedge::tests::soak {

using namespace std::chrono_literals;

/// Time after the begin of a cut from which the platform's rule counts.
static constexpr auto stableWindow = 4s;
static constexpr std::uint64_t startInterval = 12;
static constexpr std::size_t toleratedFailures = 10;
static constexpr std::size_t toleratedFailureDivisor = 50;

link_faults::link_faults(std::uint64_t seed, std::size_t daemons, set_links_hook setLinks)
    : m_random(kernel::makeSeededRandom(seed))
    , m_setLinks(std::move(setLinks))
    , m_daemons(daemons)
{
}

void link_faults::cut(std::size_t daemon, link_state state, kernel::duration length, kernel::time_point now)
{
    m_setLinks(daemon, state);
    std::lock_guard const lock(m_mutex);
    auto& links = m_daemons[daemon];
    links.cutSince = links.cutSince.value_or(now);
    links.restoreAt = now + length;
    ++m_cutCount;
}

std::vector<std::string> link_faults::step()
{
    std::vector<std::string> events;
    auto const now = std::chrono::steady_clock::now();
    for (std::size_t daemon = 0; daemon < m_daemons.size(); ++daemon) {
        if (!m_daemons[daemon].cutSince || now < m_daemons[daemon].restoreAt)
            continue;
        m_setLinks(daemon, std::nullopt);
        std::lock_guard const lock(m_mutex);
        m_daemons[daemon].cutSince.reset();
        events.push_back("links of daemon" + std::to_string(daemon) + " restored");
    }
    if (m_random() % startInterval != 0)
        return events;
    static constexpr std::array states { link_state::unresponsive, link_state::reset, link_state::no_new_connections };
    auto const state = states.at(m_random() % states.size());
    auto const length = 300ms + std::chrono::milliseconds { m_random() % 8000 };
    // Mostly one daemon; sometimes most of them, and seldom all.
    auto const extent = m_random() % 8;
    auto const first = m_random() % m_daemons.size();
    auto count = extent < 5 ? 1 : std::max<std::size_t>(1, m_daemons.size() * 2 / 3);
    if (extent == 7)
        count = m_daemons.size();
    for (std::size_t index = 0; index < count; ++index)
        cut((first + index) % m_daemons.size(), state, length, now);
    events.push_back("link state " + std::to_string(static_cast<int>(state)) + " of " + std::to_string(count) + " daemons from daemon" + std::to_string(first) + " for " + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(length).count()) + " ms");
    return events;
}

void link_faults::restoreAll()
{
    for (std::size_t daemon = 0; daemon < m_daemons.size(); ++daemon)
        m_setLinks(daemon, std::nullopt);
    std::lock_guard const lock(m_mutex);
    for (auto& each : m_daemons)
        each.cutSince.reset();
}

void link_faults::recordAnswer(std::size_t daemon, kernel::time_point sentAt, bool isServed)
{
    std::lock_guard const lock(m_mutex);
    auto const hasBeenCutFor = [&](auto const& each, kernel::duration time) { return each.cutSince && sentAt - *each.cutSince >= time; };
    bool const isAnyCut = std::any_of(m_daemons.begin(), m_daemons.end(), [&](auto const& each) { return hasBeenCutFor(each, stableWindow); });
    bool const areAllCut = std::all_of(m_daemons.begin(), m_daemons.end(), [](auto const& each) { return each.cutSince.has_value(); });
    if (!isAnyCut || areAllCut)
        return;
    auto const& links = m_daemons[daemon];
    if (links.cutSince && !hasBeenCutFor(links, stableWindow))
        return;
    auto& count = links.cutSince ? m_cutOff : m_others;
    ++count.requests;
    count.served += isServed ? 1 : 0;
}

std::vector<std::string> link_faults::findings() const
{
    std::lock_guard const lock(m_mutex);
    auto const failed = m_cutOff.requests - m_cutOff.served;
    bool const isServedLess = 3 * m_cutOff.served * m_others.requests < 2 * m_others.served * m_cutOff.requests;
    if (!isServedLess || failed <= toleratedFailures + (m_cutOff.requests + m_others.requests) / toleratedFailureDivisor)
        return {};
    return { "RECOVER: daemons without leafs served " + std::to_string(m_cutOff.served) + " of " + std::to_string(m_cutOff.requests) + " requests, others " + std::to_string(m_others.served) + " of " + std::to_string(m_others.requests) };
}

std::string link_faults::summary() const
{
    std::lock_guard const lock(m_mutex);
    return std::to_string(m_cutCount) + " cuts, " + std::to_string(m_cutOff.served) + " of " + std::to_string(m_cutOff.requests) + " served there, " + std::to_string(m_others.served) + " of " + std::to_string(m_others.requests) + " elsewhere";
}

}

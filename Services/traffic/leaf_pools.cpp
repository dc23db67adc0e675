#include "Services/traffic/leaf_pools.h"

#include <algorithm>

namespace zinnialedge::services::traffic {

/// Connecting takes a few milliseconds; a partitioned leaf never answers the handshake.
static constexpr std::chrono::milliseconds connectTimeout { 400 };

leaf_pools::leaf_pools(boost::asio::io_context& context, forwarding::edge_protocol const& protocol, std::function<void(forwarding::call_number, forwarding::call_result)> callEnded)
    : m_context(context)
    , m_protocol(protocol)
    , m_callEnded(std::move(callEnded))
{
}

leaf_pools::connection leaf_pools::takeIdle(std::uint32_t leaf, bool isRepeatable, kernel::time_point now)
{
    auto const found = m_idle.find(leaf);
    if (found == m_idle.end())
        return nullptr;
    auto& idle = found->second;
    // The most recently used connection is the freshest. Surplus connections expire by their idle limit.
    if (idle.empty() || !idle.back()->isFresh(now, isRepeatable))
        return nullptr;
    auto taken = std::move(idle.back());
    idle.pop_back();
    return taken;
}

leaf_pools::connection leaf_pools::makeConnection(std::uint32_t leaf)
{
    auto const self = std::make_shared<std::weak_ptr<leaf_connection>>();
    leaf_connection_hooks hooks;
    hooks.protocol = &m_protocol;
    hooks.callEnded = [this](forwarding::call_number number, forwarding::call_result result) {
        m_busy.erase(number);
        m_callEnded(number, std::move(result));
    };
    hooks.becameIdle = [this, self, leaf] {
        if (auto made = self->lock())
            m_idle[leaf].push_back(std::move(made));
    };
    hooks.closed = [this, self, leaf] {
        auto const made = self->lock();
        if (!made)
            return;
        std::erase(m_idle[leaf], made);
        m_all.erase(made.get());
    };
    auto made = std::make_shared<leaf_connection>(m_context, std::move(hooks));
    *self = made;
    m_all[made.get()] = made;
    return made;
}

void leaf_pools::send(std::uint32_t leaf, model::endpoint const& place, call_message call, kernel::time_point now)
{
    auto const number = call.number;
    if (auto const idle = takeIdle(leaf, call.isRepeatable, now)) {
        ++m_counters.reused;
        m_busy[number] = idle;
        idle->send(std::move(call));
        return;
    }
    ++m_counters.opened;
    auto const made = makeConnection(leaf);
    m_busy[number] = made;
    made->connect(place, std::move(call));
}

void leaf_pools::cancel(forwarding::call_number number, forwarding::call_failure failure)
{
    auto const found = m_busy.find(number);
    if (found == m_busy.end())
        return;
    if (auto const carrying = found->second.lock())
        carrying->cut(failure);
}

void leaf_pools::sweep(kernel::time_point now)
{
    std::vector<connection> expired;
    for (auto const& [pointer, each] : m_all) {
        bool const isLate = each->isConnecting() && now - each->connectsSince() > connectTimeout;
        if (isLate || (each->isIdle() && !each->isFresh(now, true)))
            expired.push_back(each);
    }
    for (auto const& each : expired)
        each->cut(forwarding::call_failure::not_sent);
    std::erase_if(m_idle, [](auto const& entry) { return entry.second.empty(); });
}

}

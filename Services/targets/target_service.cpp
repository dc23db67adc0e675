#include "Services/targets/target_service.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

namespace zinnialedge::services::targets {

namespace json = boost::json;

static constexpr std::chrono::milliseconds refreshInterval { 1000 };
/// Ring slots per leaf call. A call needs at most two slots (send and cancel); the remaining slots are for connection changes.
static constexpr std::size_t actionsPerCall = 4;

class target_service::refresh_timer {
public:
    refresh_timer(boost::asio::io_context& context, std::function<void()> refresh)
        : m_timer(context)
        , m_refresh(std::move(refresh))
    {
    }

    void schedule()
    {
        m_timer.expires_after(refreshInterval);
        m_timer.async_wait([this](boost::system::error_code failure) {
            if (failure)
                return;
            m_refresh();
            schedule();
        });
    }

private:
    boost::asio::steady_timer m_timer;
    std::function<void()> m_refresh;
};

target_service::target_service(std::string callPrefix, kernel::clock_hook clock, decisions::decision_service& decisions, std::size_t leafCallCapacity)
    : m_duty(serviceName)
    , m_callPrefix(std::move(callPrefix))
    , m_clock(std::move(clock))
    , m_decisions(decisions)
    , m_leafCallCapacity(leafCallCapacity)
    , m_timer(std::make_unique<refresh_timer>(m_duty.context(), [this] { refreshPools(); }))
{
    m_decisions.connectTargets(m_duty.makeInbox<decisions::target_action>(actionsPerCall * leafCallCapacity, [this](decisions::target_action&& action) { handle(std::move(action)); }));
}

target_service::~target_service() = default;

void target_service::start()
{
    m_timer->schedule();
    m_duty.start();
}

void target_service::handle(decisions::target_action&& action)
{
    std::visit([this](auto const& each) { perform(each); }, action);
}

void target_service::perform(queries::send_leaf_call const& call)
{
    auto const found = m_pools.find(call.leaf);
    VERIFY(found != m_pools.end());
    found->second->send(call);
}

void target_service::perform(queries::cancel_leaf_call const& cancelled)
{
    auto const found = m_pools.find(cancelled.leaf);
    if (found != m_pools.end())
        found->second->cancel(cancelled.call);
}

void target_service::perform(queries::change_leaf_connections const& changed)
{
    auto& pool = m_pools[changed.change.handle];
    if (pool && pool->place() != changed.change.place) {
        // The old pool stays alive until its calls in flight have ended.
        pool->resize(0);
        pool = nullptr;
    }
    if (!pool) {
        leaf_pool_hooks hooks {
            m_clock,
            [this](queries::leaf_call_ended ended) { report(std::move(ended)); },
            [this](queries::leaf_status_seen seen) { report(std::move(seen)); },
        };
        pool = std::make_shared<leaf_pool>(m_duty.context(), changed.change.handle, changed.change.place, m_callPrefix, std::move(hooks));
    }
    pool->resize(changed.change.connections);
}

void target_service::refreshPools()
{
    std::erase_if(m_pools, [](auto const& entry) { return entry.second->isClosed(); });
    for (auto const& [handle, pool] : m_pools)
        pool->refresh();
}

void target_service::report(decisions::target_event&& event)
{
    // The number of replies is limited by the calls in flight, and ring slots for all replies stay reserved. A status report may
    // be dropped, because the next status report replaces it.
    bool const isReply = std::holds_alternative<queries::leaf_call_ended>(event);
    auto& inbox = m_decisions.targetInbox();
    if (!isReply && inbox.freeSlots() <= m_leafCallCapacity)
        return;
    bool const isTaken = inbox.pushQuietly(std::move(event));
    VERIFY(isTaken);
    scheduleWake();
}

void target_service::scheduleWake()
{
    // Replies arrive in bursts. A single wake-up for all replies of one event loop iteration costs less than a wake-up per reply.
    if (std::exchange(m_isWakeScheduled, true))
        return;
    boost::asio::post(m_duty.context(), [this] {
        m_isWakeScheduled = false;
        m_decisions.targetInbox().wake();
    });
}

bool target_service::requestState(kernel::state_receiver receiver)
{
    return m_duty.post([this, receiver = std::move(receiver)] { receiver(describeState()); });
}

std::string target_service::describeState() const
{
    json::array pools;
    for (auto const& [handle, pool] : m_pools) {
        pools.push_back({
            { "leaf", handle },
            { "at", toString(pool->place()) },
            { "open", pool->openCount() },
            { "busy", pool->busyCount() },
            { "wanted", pool->wantedCount() },
            { "allowed", pool->allowedCount() },
            { "failed_connects", pool->failedConnects() },
        });
    }
    return json::serialize(json::object { { "pools", std::move(pools) } });
}

}

#include "Services/targets/target_service.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

namespace zinnialedge::services::targets {

namespace json = boost::json;

static constexpr std::chrono::milliseconds refreshInterval { 1000 };
/// Memory for the unfinished replies of all leafs together, a fifth of the smallest VM's.
static constexpr std::size_t maximumUnfinishedReplyBytes = 32U << 20U;
/// Ring slots per leaf call. A call needs at most two slots (send and cancel); the remaining slots are for connection changes.
static constexpr std::size_t actionSlotsPerCall = 4;

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

target_service::target_service(std::string callPrefix, kernel::clock_hook clock, decisions::decision_service& decisionService, std::size_t leafCallCapacity)
    : m_workerThread(serviceName)
    , m_callPrefix(std::move(callPrefix))
    , m_clock(std::move(clock))
    , m_decisionService(decisionService)
    , m_leafCallCapacity(leafCallCapacity)
    , m_unfinishedReplies(std::make_shared<limits::memory_budget>(limits::memory_budget { maximumUnfinishedReplyBytes }))
    , m_refreshTimer(std::make_unique<refresh_timer>(m_workerThread.context(), [this] { refreshPools(); }))
{
    m_decisionService.setTargetOutbox(m_workerThread.createInbox<decisions::target_action>(actionSlotsPerCall * leafCallCapacity, [this](decisions::target_action&& action) { handle(std::move(action)); }));
}

target_service::~target_service() = default;

void target_service::start()
{
    m_refreshTimer->schedule();
    m_workerThread.start();
}

void target_service::handle(decisions::target_action&& action)
{
    std::visit([this](auto const& each) { perform(each); }, action);
}

void target_service::perform(queries::send_leaf_call const& call)
{
    auto const found = m_leafPools.find(call.leaf);
    VERIFY(found != m_leafPools.end());
    found->second->send(call);
}

void target_service::perform(queries::cancel_leaf_call const& cancelled)
{
    auto const found = m_leafPools.find(cancelled.leaf);
    if (found != m_leafPools.end())
        found->second->cancel(cancelled.call);
}

void target_service::perform(queries::change_leaf_connections const& action)
{
    auto& pool = m_leafPools[action.change.handle];
    if (pool && pool->endpoint() != action.change.endpoint) {
        // The old pool stays alive until its calls in flight have ended.
        pool->resize(0);
        pool = nullptr;
    }
    if (!pool) {
        leaf_pool_hooks hooks {
            m_clock,
            [this](queries::leaf_call_ended ended) { forwardEvent(std::move(ended)); },
            [this](queries::leaf_status_received report) { forwardEvent(std::move(report)); },
            m_unfinishedReplies,
        };
        pool = std::make_shared<leaf_pool>(m_workerThread.context(), action.change.handle, action.change.endpoint, m_callPrefix, std::move(hooks));
    }
    pool->resize(action.change.connections);
}

void target_service::refreshPools()
{
    std::erase_if(m_leafPools, [](auto const& entry) { return entry.second->isClosed(); });
    for (auto const& [handle, pool] : m_leafPools)
        pool->refresh();
}

void target_service::forwardEvent(decisions::target_event&& event)
{
    // The number of replies is limited by the calls in flight, and ring slots for all replies stay reserved. A status report may
    // be dropped, because the next status report replaces it.
    bool const isReply = std::holds_alternative<queries::leaf_call_ended>(event);
    auto& inbox = m_decisionService.targetInbox();
    if (!isReply && inbox.freeSlotCount() <= m_leafCallCapacity)
        return;
    bool const isEnqueued = inbox.pushWithoutWake(std::move(event));
    VERIFY(isEnqueued);
    scheduleInboxWake();
}

void target_service::scheduleInboxWake()
{
    // Replies arrive in bursts. A single wake-up for all replies of one event loop iteration costs less than a wake-up per reply.
    if (std::exchange(m_isWakeScheduled, true))
        return;
    boost::asio::post(m_workerThread.context(), [this] {
        m_isWakeScheduled = false;
        m_decisionService.targetInbox().wake();
    });
}

bool target_service::requestState(kernel::text_receiver receiver)
{
    return m_workerThread.post([this, receiver = std::move(receiver)] { receiver(describeState()); });
}

std::string target_service::describeState() const
{
    json::array pools;
    for (auto const& [handle, pool] : m_leafPools) {
        pools.push_back({
            { "leaf", handle },
            { "at", toString(pool->endpoint()) },
            { "open", pool->openConnectionCount() },
            { "busy", pool->busyConnectionCount() },
            { "wanted", pool->maximumConnectionCount() },
            { "allowed", pool->usableConnectionCount() },
            { "failed_connects", pool->failedConnectCount() },
        });
    }
    return json::serialize(json::object { { "pools", std::move(pools) } });
}

}

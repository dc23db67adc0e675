#pragma once

#include "Kernel/service_registry.h"
#include "Kernel/worker_thread.h"
#include "Services/decisions/decision_service.h"
#include "Services/targets/leaf_pool.h"
#include <map>

namespace zinnialedge::services::targets {

/// Sends calls to the leafs and monitors the status of the leafs.
class target_service final : public kernel::service {
public:
    /// `callPrefix` makes the call names of this process unique among all processes.
    target_service(std::string callPrefix, kernel::clock_hook, decisions::decision_service&, std::size_t leafCallCapacity);
    ~target_service() override;

    std::string const& name() const override { return m_workerThread.name(); }
    void start() override;
    void stop() override { m_workerThread.stop(); }
    bool requestState(kernel::text_receiver) override;

    static constexpr char const* serviceName = "targets";

private:
    class refresh_timer;

    void handle(decisions::target_action&&);
    void perform(queries::send_leaf_call const&);
    void perform(queries::cancel_leaf_call const&);
    void perform(queries::change_leaf_connections const&);
    void refreshPools();
    void forwardEvent(decisions::target_event&&);
    void scheduleInboxWake();
    std::string describeState() const;

    kernel::io_worker_thread m_workerThread;
    std::string m_callPrefix;
    kernel::clock_hook m_clock;
    decisions::decision_service& m_decisionService;
    std::size_t m_leafCallCapacity;
    std::shared_ptr<limits::memory_budget> m_unfinishedReplies;
    std::map<routing::leaf_handle, std::shared_ptr<leaf_pool>> m_leafPools;
    std::unique_ptr<refresh_timer> m_refreshTimer;
    bool m_isWakeScheduled { false };
};

}

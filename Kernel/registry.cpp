#include "Kernel/registry.h"

namespace zinnialedge::kernel {

bool service::requestMetrics(state_receiver /*receiver*/) // NOLINT(performance-unnecessary-value-param): overrides store the receiver
{
    return false;
}

void registry::add(std::shared_ptr<service> added)
{
    auto const isNew = m_services.emplace(added->name(), added).second;
    VERIFY(isNew);
    m_inOrder.push_back(std::move(added));
}

void registry::startAll()
{
    for (auto const& each : m_inOrder)
        each->start();
}

void registry::stopAll()
{
    for (auto each = m_inOrder.rbegin(); each != m_inOrder.rend(); ++each)
        (*each)->stop();
}

}

#include "Kernel/service_registry.h"

namespace zinnialedge::kernel {

bool service::requestMetrics(text_receiver /*receiver*/) // NOLINT(performance-unnecessary-value-param): overrides store the receiver
{
    return false;
}

void service_registry::add(std::shared_ptr<service> added)
{
    auto const isNew = m_services.emplace(added->name(), added).second;
    VERIFY(isNew);
    m_servicesInRegistrationOrder.push_back(std::move(added));
}

void service_registry::startAll()
{
    for (auto const& each : m_servicesInRegistrationOrder)
        each->start();
}

void service_registry::stopAll()
{
    for (auto each = m_servicesInRegistrationOrder.rbegin(); each != m_servicesInRegistrationOrder.rend(); ++each)
        (*each)->stop();
}

}

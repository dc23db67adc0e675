#pragma once

#include "Kernel/verify.h"
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace zinnialedge::kernel {

/// Receives the state of a service as JSON text, or its metrics as Prometheus text. May be called on any thread.
using text_receiver = std::function<void(std::string)>;

/// A component of the process that other components look up by name.
class service {
public:
    virtual ~service() = default;
    virtual std::string const& name() const = 0;
    virtual void start() = 0;
    virtual void stop() = 0;
    /// Requests a dump of the service's state, which is passed to the receiver later. Returns false when the service can't
    /// accept the request now.
    [[nodiscard]] virtual bool requestState(text_receiver) = 0;
    /// Requests the service's metrics in the Prometheus text format. Returns false when the service has no metrics or can't
    /// accept the request now.
    [[nodiscard]] virtual bool requestMetrics(text_receiver /*receiver*/);
};

/// Holds the services of one process by name. All services are added before they start; afterwards the registry is read-only.
class service_registry {
public:
    void add(std::shared_ptr<service>);

    /// Returns the service with the given name. Aborts when no service has this name or its type is not T, because either is
    /// a bug in the set-up of the process.
    template <typename T>
    T& find(std::string const& name) const
    {
        auto const found = m_services.find(name);
        VERIFY(found != m_services.end());
        auto* const typed = dynamic_cast<T*>(found->second.get());
        VERIFY(typed);
        return *typed;
    }

    std::vector<std::shared_ptr<service>> const& all() const { return m_servicesInRegistrationOrder; }
    void startAll();
    /// Stops the services in the reverse order of their registration.
    void stopAll();

private:
    std::map<std::string, std::shared_ptr<service>> m_services;
    std::vector<std::shared_ptr<service>> m_servicesInRegistrationOrder;
};

}

#pragma once

#include "Kernel/verify.h"
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace zinnialedge::kernel {

/// Receives a service's state as JSON text, on any thread.
using state_receiver = std::function<void(std::string)>;

/// A part of the process that others find by its name.
class service {
public:
    virtual ~service() = default;
    virtual std::string const& name() const = 0;
    virtual void start() = 0;
    virtual void stop() = 0;
    /// Asks for a dump of the service's state; the answer comes later. False when it can't be asked now.
    [[nodiscard]] virtual bool requestState(state_receiver) = 0;
    /// Asks for the service's metrics in the Prometheus text format. False when it has none or can't be asked now.
    [[nodiscard]] virtual bool requestMetrics(state_receiver /*receiver*/);
};

/// The services of one process by name. Filled before the services start, read-only afterwards.
class registry {
public:
    void add(std::shared_ptr<service>);

    /// The service of that name. A missing or differently typed one is a wiring bug.
    template <typename T>
    T& find(std::string const& name) const
    {
        auto const found = m_services.find(name);
        VERIFY(found != m_services.end());
        auto* const typed = dynamic_cast<T*>(found->second.get());
        VERIFY(typed);
        return *typed;
    }

    std::vector<std::shared_ptr<service>> const& all() const { return m_inOrder; }
    void startAll();
    /// Stops in the opposite order of registration.
    void stopAll();

private:
    std::map<std::string, std::shared_ptr<service>> m_services;
    std::vector<std::shared_ptr<service>> m_inOrder;
};

}

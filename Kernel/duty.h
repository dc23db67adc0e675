#pragma once

#include "Kernel/clock.h"
#include "Kernel/ring.h"
#include "Kernel/wake_signal.h"
#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace zinnialedge::kernel {

using task = std::function<void()>;

/// One thread with one job. Work reaches it through bounded rings that it drains whenever it is woken.
class duty {
public:
    explicit duty(std::string name);
    duty(duty const&) = delete;
    duty& operator=(duty const&) = delete;
    virtual ~duty();

    std::string const& name() const { return m_name; }

    /// Makes a ring whose values `consume` receives on this duty's thread. Call before start().
    template <typename T>
    std::shared_ptr<ring<T>> makeInbox(std::size_t capacity, std::function<void(T&&)> consume)
    {
        auto inbox = std::make_shared<ring<T>>(capacity, [this] { wake(); });
        m_drains.push_back([inbox, consume = std::move(consume)] { return inbox->drain(consume); });
        return inbox;
    }

    /// Runs a task on this duty's thread. Any thread may call it; it is for control, not for the query path.
    /// False when too many tasks wait.
    [[nodiscard]] bool post(task);

    void start();
    /// Asks the thread to end and waits for it.
    void stop();

protected:
    virtual void wake() = 0;
    virtual void run() = 0;
    virtual void interrupt() = 0;
    std::size_t drainInboxes();
    bool isStopping() const { return m_isStopping.load(); }

private:
    void runPostedTasks();

    std::string m_name;
    std::vector<std::function<std::size_t()>> m_drains;
    std::mutex m_tasksMutex;
    std::vector<task> m_tasks;
    std::atomic<bool> m_hasTasks { false };
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

/// A duty without I/O: it sleeps until woken or until its next timer.
class deciding_duty final : public duty {
public:
    /// `onWake` runs after each drain and returns the time at which it wants to run again.
    deciding_duty(std::string name, clock_hook, std::function<time_point()> onWake);
    ~deciding_duty() override;

private:
    void wake() override;
    void run() override;
    void interrupt() override;

    clock_hook m_clock;
    std::function<time_point()> m_onWake;
    std::atomic<bool> m_isWakePending { false };
    wake_signal m_signal;
};

/// A duty that owns sockets: it runs an event loop.
class io_duty final : public duty {
public:
    explicit io_duty(std::string name);
    ~io_duty() override;

    boost::asio::io_context& context() { return *m_context; }

private:
    void wake() override;
    void run() override;
    void interrupt() override;

    std::unique_ptr<boost::asio::io_context> m_context;
    std::atomic<bool> m_isWakePending { false };
};

}

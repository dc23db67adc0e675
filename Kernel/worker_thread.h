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

/// A worker thread. Other threads hand work to this thread through bounded rings, which are drained after each wake-up.
class worker_thread {
public:
    explicit worker_thread(std::string name);
    worker_thread(worker_thread const&) = delete;
    worker_thread& operator=(worker_thread const&) = delete;
    virtual ~worker_thread();

    std::string const& name() const { return m_name; }

    /// Creates a ring whose values are passed to `consume` on this worker thread. Must be called before start().
    template <typename T>
    std::shared_ptr<ring<T>> createInbox(std::size_t capacity, std::function<void(T&&)> consume)
    {
        auto inbox = std::make_shared<ring<T>>(capacity, [this] { wake(); });
        m_inboxDrainFunctions.push_back([inbox, consume = std::move(consume)] { return inbox->drain(consume); });
        return inbox;
    }

    /// Enqueues a task to run on this worker thread. May be called from any thread. Use this function for control
    /// operations only, not on the query path: the task queue takes a mutex. Returns false when the task queue is full.
    [[nodiscard]] bool post(task);

    void start();
    /// Stops the worker thread and joins it.
    void stop();

protected:
    virtual void wake() = 0;
    virtual void run() = 0;
    virtual void interrupt() = 0;
    std::size_t drainInboxes();
    bool isStopping() const { return m_isStopping.load(); }

private:
    void runTasks();

    std::string m_name;
    std::vector<std::function<std::size_t()>> m_inboxDrainFunctions;
    std::mutex m_taskMutex;
    std::vector<task> m_tasks;
    std::atomic<bool> m_hasTasks { false };
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

/// A worker thread without I/O, which sleeps until it is woken or its next timer is due.
class timer_worker_thread final : public worker_thread {
public:
    /// `runTimers` is called each time the rings have been drained, and returns the time of the next timer.
    timer_worker_thread(std::string name, clock_hook, std::function<time_point()> runTimers);
    ~timer_worker_thread() override;

private:
    void wake() override;
    void run() override;
    void interrupt() override;

    clock_hook m_clock;
    std::function<time_point()> m_runTimers;
    std::atomic<bool> m_isWakePending { false };
    wake_signal m_signal;
};

/// A worker thread that owns sockets and runs an event loop.
class io_worker_thread final : public worker_thread {
public:
    explicit io_worker_thread(std::string name);
    ~io_worker_thread() override;

    boost::asio::io_context& context() { return *m_context; }

private:
    void wake() override;
    void run() override;
    void interrupt() override;

    std::unique_ptr<boost::asio::io_context> m_context;
    std::atomic<bool> m_isWakePending { false };
};

}

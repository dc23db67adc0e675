#include "Kernel/worker_thread.h"

#include "Kernel/verify.h"
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <pthread.h>

namespace zinnialedge::kernel {

static constexpr std::size_t maximumPendingTasks = 1024;

worker_thread::worker_thread(std::string name)
    : m_name(std::move(name))
{
}

worker_thread::~worker_thread()
{
    VERIFY(!m_thread.joinable());
}

bool worker_thread::post(task work)
{
    {
        std::lock_guard const lock(m_taskMutex);
        if (m_tasks.size() >= maximumPendingTasks)
            return false;
        m_tasks.push_back(std::move(work));
        m_hasTasks = true;
    }
    wake();
    return true;
}

void worker_thread::start()
{
    m_thread = std::thread([this] { run(); });
    // Thread listings show this name. Linux rejects thread names longer than 15 bytes.
    ::pthread_setname_np(m_thread.native_handle(), m_name.c_str());
}

void worker_thread::stop()
{
    m_isStopping = true;
    interrupt();
    if (m_thread.joinable())
        m_thread.join();
}

std::size_t worker_thread::drainInboxes()
{
    std::size_t count = 0;
    for (auto& drain : m_inboxDrainFunctions)
        count += drain();
    runTasks();
    return count;
}

void worker_thread::runTasks()
{
    if (!m_hasTasks.exchange(false))
        return;
    std::vector<task> tasks;
    {
        std::lock_guard const lock(m_taskMutex);
        tasks.swap(m_tasks);
    }
    for (auto& work : tasks)
        work();
}

timer_worker_thread::timer_worker_thread(std::string name, clock_hook clock, std::function<time_point()> runTimers)
    : worker_thread(std::move(name))
    , m_clock(std::move(clock))
    , m_runTimers(std::move(runTimers))
{
}

timer_worker_thread::~timer_worker_thread() = default;

void timer_worker_thread::wake()
{
    // One pending signal suffices, because the worker thread drains all its rings after it clears the flag.
    if (!m_isWakePending.exchange(true))
        m_signal.notify();
}

void timer_worker_thread::run()
{
    while (!isStopping()) {
        drainInboxes();
        // When the next timer is already due, waitFor() does not sleep, but still consumes a pending signal before the flag
        // is cleared.
        auto const next = m_runTimers();
        if (m_signal.waitFor(next - m_clock()))
            m_isWakePending = false;
    }
}

void timer_worker_thread::interrupt()
{
    wake();
}

io_worker_thread::io_worker_thread(std::string name)
    : worker_thread(std::move(name))
    , m_context(std::make_unique<boost::asio::io_context>(1))
{
}

io_worker_thread::~io_worker_thread() = default;

void io_worker_thread::wake()
{
    if (m_isWakePending.exchange(true))
        return;
    boost::asio::post(*m_context, [this] {
        m_isWakePending = false;
        drainInboxes();
    });
}

void io_worker_thread::run()
{
    auto const guard = boost::asio::make_work_guard(*m_context);
    m_context->run();
}

void io_worker_thread::interrupt()
{
    m_context->stop();
}

}

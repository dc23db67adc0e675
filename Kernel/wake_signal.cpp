#include "Kernel/wake_signal.h"

#include "Kernel/verify.h"
#include <cerrno>

namespace zinnialedge::kernel {

// std::counting_semaphore in libstdc++ yields the processor several times before sleeping. For a thread that is woken
// thousands of times a second, those yields cost more than the work itself. A POSIX semaphore needs one system call.

wake_signal::wake_signal()
{
    VERIFY(::sem_init(&m_semaphore, 0, 0) == 0);
}

wake_signal::~wake_signal()
{
    ::sem_destroy(&m_semaphore);
}

void wake_signal::notify()
{
    VERIFY(::sem_post(&m_semaphore) == 0);
}

bool wake_signal::waitFor(duration timeout)
{
    if (::sem_trywait(&m_semaphore) == 0)
        return true;
    if (timeout <= duration::zero())
        return false;
    auto const sinceStart = (std::chrono::steady_clock::now() + timeout).time_since_epoch();
    auto const seconds = std::chrono::floor<std::chrono::seconds>(sinceStart);
    ::timespec const limit { seconds.count(), std::chrono::nanoseconds { sinceStart - seconds }.count() };
    while (::sem_clockwait(&m_semaphore, CLOCK_MONOTONIC, &limit) != 0) {
        if (errno != EINTR)
            return false;
    }
    return true;
}

}

#pragma once

#include "Kernel/clock.h"
#include <semaphore.h>

namespace zinnialedge::kernel {

/// Wakes one sleeping thread. A signal that is given while the thread is awake ends its next wait immediately.
class wake_signal {
public:
    wake_signal();
    wake_signal(wake_signal const&) = delete;
    wake_signal& operator=(wake_signal const&) = delete;
    ~wake_signal();

    void notify();
    /// Waits for a signal and returns true if one arrives before the timeout. With a timeout of zero or less, only checks for
    /// a pending signal.
    [[nodiscard]] bool waitFor(duration);

private:
    ::sem_t m_semaphore {};
};

}

#pragma once

#include "Kernel/clock.h"
#include <semaphore.h>

namespace zinnialedge::kernel {

/// Wakes one sleeping thread. A signal given while nobody sleeps ends the next sleep at once.
class wake_signal {
public:
    wake_signal();
    wake_signal(wake_signal const&) = delete;
    wake_signal& operator=(wake_signal const&) = delete;
    ~wake_signal();

    void give();
    /// True when a signal was given within that time; a time that is not positive only looks.
    [[nodiscard]] bool waitFor(duration);

private:
    ::sem_t m_semaphore {};
};

}

#pragma once

#include <boost/lockfree/spsc_queue.hpp>
#include <cstddef>
#include <functional>
#include <utility>

namespace zinnialedge::kernel {

/// A ring: a bounded lock-free queue with one producer thread and one consumer thread.
template <typename T>
class ring {
public:
    /// `wake` is called on the producer's thread after each push and must wake the consumer's thread.
    ring(std::size_t capacity, std::function<void()> wake)
        : m_queue(capacity)
        , m_wake(std::move(wake))
    {
    }

    /// Enqueues a value and wakes the consumer. Returns false when the ring is full; `value` is then unchanged, and the caller
    /// must reject the work.
    [[nodiscard]] bool push(T&& value)
    {
        if (!pushWithoutWake(std::move(value)))
            return false;
        wake();
        return true;
    }

    /// Enqueues a value without waking the consumer. The producer calls wake() after the last value of a batch.
    [[nodiscard]] bool pushWithoutWake(T&& value) { return m_queue.push(std::move(value)); }
    void wake() { m_wake(); }

    /// Passes every queued value to `consume`, and returns the number of values. Must be called on the consumer's thread.
    template <typename F>
    std::size_t drain(F&& consume)
    {
        return m_queue.consume_all([&](T& value) { consume(std::move(value)); });
    }

    std::size_t freeSlotCount() const { return m_queue.write_available(); }

private:
    boost::lockfree::spsc_queue<T> m_queue;
    std::function<void()> m_wake;
};

}

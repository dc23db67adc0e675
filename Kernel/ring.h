#pragma once

#include <boost/lockfree/spsc_queue.hpp>
#include <cstddef>
#include <functional>
#include <utility>

namespace zinnialedge::kernel {

/// A bounded single-producer, single-consumer queue from one duty to another.
template <typename T>
class ring {
public:
    /// `wake` is called on the producer's thread after each push and must wake the consumer.
    ring(std::size_t capacity, std::function<void()> wake)
        : m_queue(capacity)
        , m_wake(std::move(wake))
    {
    }

    /// False when the ring is full: the value was not taken, and the caller must refuse the work.
    [[nodiscard]] bool push(T&& value)
    {
        if (!pushQuietly(std::move(value)))
            return false;
        wake();
        return true;
    }

    /// The same without waking the consumer; the producer calls wake() once it has pushed what it has.
    [[nodiscard]] bool pushQuietly(T&& value) { return m_queue.push(std::move(value)); }
    void wake() { m_wake(); }

    /// Hands every waiting value to `consume`, on the consumer's thread. Returns how many there were.
    template <typename F>
    std::size_t drain(F&& consume)
    {
        return m_queue.consume_all([&](T& value) { consume(std::move(value)); });
    }

    std::size_t freeSlots() const { return m_queue.write_available(); }

private:
    boost::lockfree::spsc_queue<T> m_queue;
    std::function<void()> m_wake;
};

}

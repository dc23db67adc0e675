#pragma once

#include <cstddef>
#include <memory>

namespace zinnialedge::limits {

/// Memory that several holders may take together, in bytes. The holders report what they hold; nothing is refused here.
struct memory_budget {
    std::size_t limit { 0 };
    std::size_t used { 0 };

    bool isExceeded() const { return used > limit; }
    /// Returns whether another `bytes` fit.
    bool hasRoom(std::size_t bytes) const { return used <= limit && bytes <= limit - used; }

    bool operator==(memory_budget const&) const = default;
};

/// What one holder takes of a budget. Its end gives it back.
class memory_charge {
public:
    memory_charge() = default;
    explicit memory_charge(std::shared_ptr<memory_budget> budget)
        : m_budget(std::move(budget))
    {
    }
    ~memory_charge() { set(0); }
    memory_charge(memory_charge const&) = delete;
    memory_charge& operator=(memory_charge const&) = delete;

    /// Replaces the holder's part.
    void set(std::size_t bytes)
    {
        if (!m_budget)
            return;
        m_budget->used = m_budget->used - m_bytes + bytes;
        m_bytes = bytes;
    }
    std::size_t bytes() const { return m_bytes; }
    bool isBudgetExceeded() const { return m_budget && m_budget->isExceeded(); }

private:
    std::shared_ptr<memory_budget> m_budget;
    std::size_t m_bytes { 0 };
};

}

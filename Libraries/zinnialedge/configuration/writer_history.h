#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinnialedge::configuration {

/// Most recent change by a writer.
struct writer_mark {
    /// Identity of the writing process: the daemon and its incarnation.
    std::string writer;
    std::uint64_t sequence { 0 };
    /// Number of the change among all changes of the object, counted from one.
    std::uint64_t change { 0 };

    auto operator<=>(writer_mark const&) const = default;
};

/// Most recent writers of an object. The history is part of the object's body, so that a writer whose reply was lost can read the
/// object and find its change.
class writer_history {
public:
    writer_history() = default;
    writer_history(std::uint64_t changes, std::vector<writer_mark> marks);

    /// Records a new change by the writer and evicts the oldest mark beyond the capacity.
    void note(std::string const& writer, std::uint64_t sequence);
    /// Returns the number of the writer's most recent change if its sequence is at least `sequence`; otherwise nothing.
    std::optional<std::uint64_t> findChangeNumber(std::string_view writer, std::uint64_t sequence) const;
    /// Returns whether the mark of the given change may have been evicted.
    bool mayHaveEvicted(std::uint64_t change) const;
    /// Returns the number of changes of the object so far.
    std::uint64_t changes() const { return m_changeCount; }
    /// Returns the marks, oldest first.
    std::vector<writer_mark> const& marks() const { return m_marks; }

    bool operator==(writer_history const&) const = default;

    /// Maximum number of marks.
    static constexpr std::size_t capacity = 32;

private:
    std::uint64_t m_changeCount { 0 };
    std::vector<writer_mark> m_marks;
};

}

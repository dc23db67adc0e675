#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinnialedge::configuration {

/// The last change of one writer.
struct writer_mark {
    /// Names one process: a daemon and its incarnation.
    std::string writer;
    std::uint64_t sequence { 0 };
    /// Which change of the object it was, counted from one.
    std::uint64_t change { 0 };

    auto operator<=>(writer_mark const&) const = default;
};

/// Who changed an object last; kept in its body, so that a writer whose reply was lost finds its own change there.
class writer_history {
public:
    writer_history() = default;
    writer_history(std::uint64_t changes, std::vector<writer_mark> marks);

    void note(std::string const& writer, std::uint64_t sequence);
    /// Which change the writer made with that sequence or a later one; nothing when it is not there.
    std::optional<std::uint64_t> changeOf(std::string_view writer, std::uint64_t sequence) const;
    /// True when the mark of that change may have been dropped to make room.
    bool mayHaveForgotten(std::uint64_t change) const;
    std::uint64_t changes() const { return m_changes; }
    /// The oldest first.
    std::vector<writer_mark> const& marks() const { return m_marks; }

    bool operator==(writer_history const&) const = default;

    static constexpr std::size_t capacity = 32;

private:
    std::uint64_t m_changes { 0 };
    std::vector<writer_mark> m_marks;
};

}

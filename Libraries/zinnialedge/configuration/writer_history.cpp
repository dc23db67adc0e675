#include "Libraries/zinnialedge/configuration/writer_history.h"

#include <algorithm>

namespace zinnialedge::configuration {

writer_history::writer_history(std::uint64_t changes, std::vector<writer_mark> marks)
    : m_changeCount(changes)
    , m_marks(std::move(marks))
{
}

void writer_history::note(std::string const& writer, std::uint64_t sequence)
{
    std::erase_if(m_marks, [&](auto const& each) { return each.writer == writer; });
    m_marks.push_back({ writer, sequence, ++m_changeCount });
    if (m_marks.size() > capacity)
        m_marks.erase(m_marks.begin());
}

std::optional<std::uint64_t> writer_history::findChangeNumber(std::string_view writer, std::uint64_t sequence) const
{
    auto const found = std::find_if(m_marks.begin(), m_marks.end(), [&](auto const& each) { return each.writer == writer && each.sequence >= sequence; });
    return found == m_marks.end() ? std::nullopt : std::optional { found->change };
}

bool writer_history::mayHaveEvicted(std::uint64_t change) const
{
    return m_marks.size() >= capacity && change < m_marks.front().change;
}

}

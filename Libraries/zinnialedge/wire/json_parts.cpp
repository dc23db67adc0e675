#include "Libraries/zinnialedge/wire/json_parts.h"

#include <algorithm>

namespace zinnialedge::wire {

/// Reads a text from its begin to its end. Takes functions return false or an empty view, and leave the position open, when the text has another
/// form than expected.
class json_scanner {
public:
    explicit json_scanner(std::string_view text)
        : m_text(text)
    {
    }

    bool take(char expected)
    {
        skipSpace();
        if (m_position >= m_text.size() || m_text[m_position] != expected)
            return false;
        ++m_position;
        return true;
    }

    bool isAtEnd()
    {
        skipSpace();
        return m_position == m_text.size();
    }

    std::string_view takeString()
    {
        skipSpace();
        auto const begin = m_position;
        return begin < m_text.size() && m_text[begin] == '"' && skipString() ? m_text.substr(begin, m_position - begin) : std::string_view {};
    }

    std::string_view takeValue()
    {
        skipSpace();
        auto const begin = m_position;
        // A value of any depth is skipped without recursion.
        std::size_t depth = 0;
        while (m_position < m_text.size()) {
            auto const character = m_text[m_position];
            bool const isClosing = character == '}' || character == ']';
            if (depth == 0 && (isClosing || character == ','))
                break;
            if (character == '"') {
                if (!skipString())
                    return {};
                continue;
            }
            depth += character == '{' || character == '[' ? 1 : 0;
            depth -= isClosing ? 1 : 0;
            ++m_position;
        }
        return depth == 0 ? m_text.substr(begin, m_position - begin) : std::string_view {};
    }

private:
    void skipSpace()
    {
        static constexpr std::string_view space = " \t\r\n";
        m_position = std::min(m_text.find_first_not_of(space, m_position), m_text.size());
    }

    bool skipString()
    {
        for (++m_position; m_position < m_text.size(); ++m_position) {
            if (m_text[m_position] == '\\') {
                ++m_position;
            } else if (m_text[m_position] == '"') {
                ++m_position;
                return true;
            }
        }
        return false;
    }

    std::string_view m_text;
    std::size_t m_position { 0 };
};

/// Reads the parts between the brackets. `takePart` returns false when a part has another form than expected.
template <typename TakePart>
static bool takeParts(json_scanner& scanner, char opening, char closing, TakePart const& takePart)
{
    if (!scanner.take(opening))
        return false;
    if (scanner.take(closing))
        return scanner.isAtEnd();
    do {
        if (!takePart())
            return false;
    } while (scanner.take(','));
    return scanner.take(closing) && scanner.isAtEnd();
}

std::optional<std::vector<json_member>> splitJsonObject(std::string_view text)
{
    json_scanner scanner { text };
    std::vector<json_member> members;
    bool const isObject = takeParts(scanner, '{', '}', [&] {
        auto const name = scanner.takeString();
        if (name.empty() || !scanner.take(':'))
            return false;
        auto const value = scanner.takeValue();
        members.push_back({ name.substr(1, name.size() - 2), value });
        return !value.empty();
    });
    return isObject ? std::optional { std::move(members) } : std::nullopt;
}

std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text)
{
    json_scanner scanner { text };
    std::vector<std::string_view> elements;
    bool const isArray = takeParts(scanner, '[', ']', [&] {
        elements.push_back(scanner.takeValue());
        return !elements.back().empty();
    });
    return isArray ? std::optional { std::move(elements) } : std::nullopt;
}

std::string_view memberValue(std::vector<json_member> const& members, std::string_view name)
{
    auto const found = std::find_if(members.rbegin(), members.rend(), [&](auto const& each) { return each.name == name; });
    return found == members.rend() ? std::string_view {} : found->value;
}

}

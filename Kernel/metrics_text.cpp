#include "Kernel/metrics_text.h"

namespace zinnialedge::kernel {

static constexpr std::string_view prefix = "zinnialedge_";

void metrics_text::writeType(std::string_view name, std::string_view type)
{
    m_text << "# TYPE " << prefix << name << " " << type << "\n";
}

/// Escapes a label value as the text format requires.
static std::string escapeLabelValue(std::string_view value)
{
    std::string escaped;
    for (auto const character : value) {
        if (character == '\n') {
            escaped += "\\n";
            continue;
        }
        if (character == '\\' || character == '"')
            escaped += '\\';
        escaped += character;
    }
    return escaped;
}

void metrics_text::counter(std::string_view name, std::uint64_t value)
{
    writeType(name, "counter");
    m_text << prefix << name << " " << value << "\n";
}

void metrics_text::counter(std::string_view name, std::string_view label, std::vector<std::pair<std::string_view, std::uint64_t>> const& values)
{
    writeType(name, "counter");
    for (auto const& [labelValue, value] : values)
        m_text << prefix << name << "{" << label << "=\"" << escapeLabelValue(labelValue) << "\"} " << value << "\n";
}

void metrics_text::gauge(std::string_view name, std::uint64_t value)
{
    writeType(name, "gauge");
    m_text << prefix << name << " " << value << "\n";
}

}

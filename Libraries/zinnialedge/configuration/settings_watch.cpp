#include "Libraries/zinnialedge/configuration/settings_watch.h"

#include "Libraries/zinnialedge/configuration/text_file.h"

namespace zinnialedge::configuration {

settings_watch::settings_watch(std::string path)
    : m_path(std::move(path))
    , m_text(readTextFile(m_path))
{
}

std::optional<std::string> settings_watch::readIfChanged()
{
    auto text = readTextFile(m_path);
    // An empty file is a file that is being written.
    if (!text || text->empty() || text == m_text)
        return std::nullopt;
    m_text = text;
    return text;
}

}

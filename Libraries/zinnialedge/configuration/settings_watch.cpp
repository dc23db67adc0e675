#include "Libraries/zinnialedge/configuration/settings_watch.h"

#include <fstream>
#include <sstream>

namespace zinnialedge::configuration {

settings_watch::settings_watch(std::string path)
    : m_path(std::move(path))
    , m_known(read().value_or(std::string {}))
{
}

std::optional<std::string> settings_watch::read() const
{
    std::ifstream file { m_path };
    if (!file)
        return std::nullopt;
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

std::optional<std::string> settings_watch::readIfChanged()
{
    auto text = read();
    // An empty file is one that is being written.
    if (!text || text->empty() || *text == m_known)
        return std::nullopt;
    m_known = *text;
    return text;
}

}

#include "Libraries/zinnialedge/configuration/text_file.h"

#include <fstream>
#include <sstream>

namespace zinnialedge::configuration {

std::optional<std::string> readTextFile(std::string const& path)
{
    std::ifstream const file { path };
    if (!file)
        return std::nullopt;
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

}

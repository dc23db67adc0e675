#pragma once

#include "Libraries/zinnialedge/configuration/text_file.h"
#include <iostream>
#include <type_traits>

namespace zinnialedge::configuration {

/// Parses the text of a settings file with `parse`, which returns the settings or a list of problems. Prints the problems, or that
/// the file can't be read when there is no text, to standard error.
template <typename Parse>
auto parseSettingsFile(std::string const& path, std::optional<std::string> const& text, Parse const& parse) -> std::optional<std::decay_t<decltype(*parse(std::string {}))>>
{
    if (!text) {
        std::cerr << "settings: can't read file '" << path << "'; specify a settings file with --settings FILE\n";
        return std::nullopt;
    }
    auto parsed = parse(*text);
    if (parsed)
        return std::move(*parsed);
    for (auto const& problem : parsed.error())
        std::cerr << path << ": " << problem << "\n";
    return std::nullopt;
}

}

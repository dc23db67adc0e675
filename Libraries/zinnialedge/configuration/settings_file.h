#pragma once

#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>

namespace zinnialedge::configuration {

/// Reads a settings file with `parse`, which gives the settings or every problem. Prints the problems to standard error.
template <typename Parse>
auto readSettingsFile(std::string const& path, Parse const& parse) -> std::optional<std::decay_t<decltype(*parse(std::string {}))>>
{
    std::ifstream file { path };
    if (!file) {
        std::cerr << "settings: can't read the file '" << path << "'; give one with --settings FILE\n";
        return std::nullopt;
    }
    std::stringstream text;
    text << file.rdbuf();
    auto parsed = parse(text.str());
    if (parsed)
        return std::move(*parsed);
    for (auto const& problem : parsed.error())
        std::cerr << path << ": " << problem << "\n";
    return std::nullopt;
}

}

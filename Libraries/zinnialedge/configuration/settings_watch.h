#pragma once

#include <optional>
#include <string>

namespace zinnialedge::configuration {

/// Detects changes of a settings file by comparing its text, because the platform changes the file with or without a signal.
class settings_watch {
public:
    explicit settings_watch(std::string path);

    /// Returns the most recently read text, or nothing when the file could not be read at startup.
    std::optional<std::string> const& text() const { return m_text; }
    /// Returns the file's text if the text differs from the most recently read text. Returns nothing when the file can't be
    /// read, which happens briefly while the file is replaced.
    std::optional<std::string> readIfChanged();

private:
    std::string m_path;
    std::optional<std::string> m_text;
};

}

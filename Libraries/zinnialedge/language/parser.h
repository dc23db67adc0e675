#pragma once

#include "Libraries/zinnialedge/language/command.h"
#include <string_view>
#include <tl/expected.hpp>

namespace zinnialedge::language {

/// What is wrong with a text, and where.
struct syntax_error {
    source_position position;
    std::string message;

    bool operator==(syntax_error const&) const = default;
};

/// As "line 3, column 7: expected ...".
std::string toString(syntax_error const&);

/// The statements of a text. Parsing ends at the first text that is no statement; statements that parse but make no
/// sense are all reported.
tl::expected<std::vector<statement>, std::vector<syntax_error>> parseStatements(std::string_view text);

}

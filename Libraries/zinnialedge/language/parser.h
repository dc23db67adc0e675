#pragma once

#include "Libraries/zinnialedge/language/command.h"
#include <string_view>
#include <tl/expected.hpp>

namespace zinnialedge::language {

/// Syntax or semantic error in a command text, with the position of the error.
struct statement_error {
    source_position position;
    std::string message;

    bool operator==(statement_error const&) const = default;
};

/// Formats an error as "line 3, column 7: expected ...".
std::string toString(statement_error const&);

/// Parses the statements of a command text. Parsing stops at the first syntax error; semantic errors are all reported.
tl::expected<std::vector<statement>, std::vector<statement_error>> parseStatements(std::string_view text);

}

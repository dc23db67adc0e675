#pragma once

#include <optional>
#include <string_view>
#include <vector>

// Splits the text of a JSON object or array into its parts without parsing them, so that a part which can't be parsed does not affect the others.
// The views refer to the given text.

namespace zinnialedge::wire {

struct json_member {
    /// Name as it is written, without the quotes and with its escapes.
    std::string_view name;
    std::string_view value;

    bool operator==(json_member const&) const = default;
};

/// Returns the members of an object, or nothing when the text is not one object with balanced brackets and quotes.
std::optional<std::vector<json_member>> splitJsonObject(std::string_view text);
/// Returns the elements of an array, or nothing when the text is not one array with balanced brackets and quotes.
std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text);
/// Returns the value of the last member with the name, or an empty view when there is none.
std::string_view memberValue(std::vector<json_member> const&, std::string_view name);

}

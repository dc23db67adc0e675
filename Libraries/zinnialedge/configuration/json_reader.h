#pragma once

#include "Libraries/zinnialedge/model/endpoint.h"
#include <boost/json/object.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinnialedge::configuration {

/// Reads the fields of a JSON object and collects a problem, with the path of the field, for every invalid field. A field
/// without a fallback is required.
class json_reader {
public:
    /// Creates a reader for an object. `root` and `problems` must outlive the reader; `path` prefixes the reported field names.
    json_reader(boost::json::value const& root, std::vector<std::string>& problems, std::string path = {});

    std::string text(std::string_view name, std::optional<std::string> fallback = {});
    bool flag(std::string_view name, std::optional<bool> fallback = {});
    std::uint64_t number(std::string_view name, std::uint64_t minimum, std::uint64_t maximum, std::optional<std::uint64_t> fallback = {});
    std::chrono::milliseconds milliseconds(std::string_view name, std::uint64_t minimum, std::uint64_t maximum, std::optional<std::chrono::milliseconds> fallback = {});
    /// Reads a string that must be in `words`. Returns the index of the string in `words`.
    std::size_t choice(std::string_view name, std::vector<std::string_view> const& words, std::optional<std::size_t> fallback = {});
    double real(std::string_view name, double minimum, double maximum);
    /// Reads a string of the form "address:port".
    model::endpoint place(std::string_view name);
    /// Reads an object with the fields "address" and "port".
    model::endpoint endpoint(std::string_view name, bool isZeroPortAllowed);
    /// Calls `readFields` for the object field `name`. A missing field is a problem only if `isRequired` is true.
    void object(std::string_view name, bool isRequired, std::function<void(json_reader&)> const& readFields);
    /// Calls `readFields` for each object of the list field `name`.
    void list(std::string_view name, bool isRequired, std::function<void(json_reader&)> const& readFields);
    std::vector<std::string> texts(std::string_view name);
    std::vector<std::uint64_t> numbers(std::string_view name);
    bool has(std::string_view name) const;

    /// Adds a problem for a missing or invalid field.
    void report(std::string_view name, std::string_view expected);
    /// Adds a problem for every field that was not read. Must be called after all fields have been read.
    void finish();

private:
    /// Returns the value of a field, or null, and marks the field as known.
    boost::json::value const* find(std::string_view name);
    std::string fieldPath(std::string_view name) const;

    boost::json::object const* m_object { nullptr };
    std::vector<std::string>& m_problems;
    std::string m_path;
    std::vector<std::string> m_knownFields;
};

/// Returns the parsed value, or nothing after adding a problem.
std::optional<boost::json::value> parseJson(std::string_view text, std::vector<std::string>& problems);

}

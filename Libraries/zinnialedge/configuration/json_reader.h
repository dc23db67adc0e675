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

/// Reads the fields of a JSON object into an aggregate and collects every wrong field with its path.
class json_reader {
public:
    /// Reads the root object; `problems` outlives the reader.
    json_reader(boost::json::value const& root, std::vector<std::string>& problems, std::string path = {});

    std::string text(std::string_view name, std::optional<std::string> fallback = {});
    bool flag(std::string_view name, std::optional<bool> fallback = {});
    std::uint64_t number(std::string_view name, std::uint64_t minimum, std::uint64_t maximum, std::optional<std::uint64_t> fallback = {});
    std::chrono::milliseconds milliseconds(std::string_view name, std::uint64_t minimum, std::uint64_t maximum, std::optional<std::chrono::milliseconds> fallback = {});
    /// One of a few words; returns the place of the word in the list.
    std::size_t choice(std::string_view name, std::vector<std::string_view> const& words, std::optional<std::size_t> fallback = {});
    double real(std::string_view name, double minimum, double maximum);
    /// A text of the form "address:port".
    model::endpoint place(std::string_view name);
    /// An object of "address" and "port".
    model::endpoint endpoint(std::string_view name, bool mayPortBeZero);
    /// Calls `read` for the object of that name, if it is there or needed.
    void object(std::string_view name, bool isNeeded, std::function<void(json_reader&)> const& read);
    /// Calls `read` for each object of a list.
    void list(std::string_view name, bool isNeeded, std::function<void(json_reader&)> const& read);
    std::vector<std::string> texts(std::string_view name);
    std::vector<std::uint64_t> numbers(std::string_view name);
    bool has(std::string_view name) const;

    /// Reports a field that is there but wrong.
    void report(std::string_view name, std::string_view expected);
    /// Reports every field that was never read. Call it last.
    void finish();

private:
    boost::json::value const* find(std::string_view name);
    std::string pathOf(std::string_view name) const;

    boost::json::object const* m_object { nullptr };
    std::vector<std::string>& m_problems;
    std::string m_path;
    std::vector<std::string> m_known;
};

/// The parsed text, or nothing with the problem added.
std::optional<boost::json::value> parseJson(std::string_view text, std::vector<std::string>& problems);

}

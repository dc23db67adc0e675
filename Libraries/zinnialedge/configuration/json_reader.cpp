#include "Libraries/zinnialedge/configuration/json_reader.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/json.hpp>

namespace zinnialedge::configuration {

namespace json = boost::json;

json_reader::json_reader(json::value const& root, std::vector<std::string>& problems, std::string path)
    : m_object(root.if_object())
    , m_problems(problems)
    , m_path(std::move(path))
{
    if (!m_object)
        m_problems.push_back((m_path.empty() ? "(root)" : m_path) + ": expected an object");
}

std::string json_reader::fieldPath(std::string_view name) const
{
    return m_path.empty() ? std::string { name } : m_path + "." + std::string { name };
}

json::value const* json_reader::find(std::string_view name)
{
    m_knownFields.emplace_back(name);
    return m_object ? m_object->if_contains(name) : nullptr;
}

void json_reader::report(std::string_view name, std::string_view expected)
{
    if (m_object)
        m_problems.push_back(fieldPath(name) + ": expected " + std::string { expected });
}

bool json_reader::has(std::string_view name) const
{
    return m_object && m_object->contains(name);
}

std::string json_reader::text(std::string_view name, std::optional<std::string> fallback)
{
    auto const* value = find(name);
    if (!value && fallback)
        return std::move(*fallback);
    if (value && value->is_string() && (!value->get_string().empty() || fallback))
        return std::string { value->get_string() };
    report(name, "a non-empty string");
    return {};
}

bool json_reader::flag(std::string_view name, std::optional<bool> fallback)
{
    auto const* value = find(name);
    if (!value && fallback)
        return *fallback;
    if (value && value->is_bool())
        return value->get_bool();
    report(name, "true or false");
    return false;
}

std::uint64_t json_reader::number(std::string_view name, std::uint64_t minimum, std::uint64_t maximum, std::optional<std::uint64_t> fallback)
{
    auto const* value = find(name);
    if (!value && fallback)
        return *fallback;
    if (value && value->is_number()) {
        json::error_code failure;
        auto const parsed = value->to_number<std::uint64_t>(failure);
        if (!failure && parsed >= minimum && parsed <= maximum)
            return parsed;
    }
    report(name, "an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    return minimum;
}

std::chrono::milliseconds json_reader::milliseconds(std::string_view name, std::uint64_t minimum, std::uint64_t maximum, std::optional<std::chrono::milliseconds> fallback)
{
    std::optional<std::uint64_t> fallbackCount;
    if (fallback)
        fallbackCount = static_cast<std::uint64_t>(fallback->count());
    return std::chrono::milliseconds { this->number(name, minimum, maximum, fallbackCount) };
}

std::size_t json_reader::choice(std::string_view name, std::vector<std::string_view> const& words, std::optional<std::size_t> fallback)
{
    auto const* value = find(name);
    if (!value && fallback)
        return *fallback;
    if (value && value->is_string()) {
        auto const found = std::find(words.begin(), words.end(), std::string_view { value->get_string() });
        if (found != words.end())
            return static_cast<std::size_t>(found - words.begin());
    }
    std::string expected = "one of";
    for (auto const& word : words)
        expected += " " + std::string { word };
    report(name, expected);
    return 0;
}

double json_reader::real(std::string_view name, double minimum, double maximum)
{
    auto const* value = find(name);
    if (value && value->is_number()) {
        auto const parsed = value->to_number<double>();
        if (parsed >= minimum && parsed <= maximum)
            return parsed;
    }
    report(name, "a number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    return minimum;
}

model::endpoint json_reader::place(std::string_view name)
{
    auto const* value = find(name);
    if (value && value->is_string()) {
        boost::system::error_code failure;
        auto const parsed = model::parseEndpoint(std::string_view { value->get_string() });
        if (parsed)
            boost::asio::ip::make_address(parsed->address, failure);
        if (parsed && !failure)
            return *parsed;
    }
    report(name, "an IP address and a port like \"10.0.0.1:7380\"");
    return {};
}

model::endpoint json_reader::endpoint(std::string_view name, bool isZeroPortAllowed)
{
    model::endpoint result;
    object(name, true, [&](json_reader& reader) {
        result.address = reader.text("address");
        boost::system::error_code failure;
        if (!result.address.empty())
            boost::asio::ip::make_address(result.address, failure);
        if (failure)
            reader.report("address", "an IP address");
        result.port = static_cast<std::uint16_t>(reader.number("port", isZeroPortAllowed ? 0 : 1, 65535));
    });
    return result;
}

void json_reader::object(std::string_view name, bool isRequired, std::function<void(json_reader&)> const& readFields)
{
    auto const* value = find(name);
    if (!value) {
        if (isRequired)
            report(name, "an object");
        return;
    }
    json_reader reader { *value, m_problems, fieldPath(name) };
    readFields(reader);
    reader.finish();
}

void json_reader::list(std::string_view name, bool isRequired, std::function<void(json_reader&)> const& readFields)
{
    auto const* value = find(name);
    if (!value && !isRequired)
        return;
    auto const* items = value ? value->if_array() : nullptr;
    if (!items) {
        report(name, "a list of objects");
        return;
    }
    for (std::size_t index = 0; index < items->size(); ++index) {
        json_reader reader { (*items)[index], m_problems, fieldPath(name) + "[" + std::to_string(index) + "]" };
        readFields(reader);
        reader.finish();
    }
}

std::vector<std::string> json_reader::texts(std::string_view name)
{
    std::vector<std::string> strings;
    auto const* value = find(name);
    if (!value)
        return strings;
    auto const* items = value->if_array();
    bool const isStringList = items && std::all_of(items->begin(), items->end(), [](auto const& item) { return item.is_string(); });
    if (!isStringList) {
        report(name, "a list of strings");
        return strings;
    }
    for (auto const& item : *items)
        strings.emplace_back(item.get_string());
    return strings;
}

std::vector<std::uint64_t> json_reader::numbers(std::string_view name)
{
    std::vector<std::uint64_t> integers;
    auto const* value = find(name);
    if (!value)
        return integers;
    auto const* items = value->if_array();
    if (!items) {
        report(name, "a list of integers");
        return integers;
    }
    for (auto const& item : *items) {
        json::error_code failure;
        if (item.is_number())
            integers.push_back(item.to_number<std::uint64_t>(failure));
        if (!item.is_number() || failure)
            report(name, "a list of integers");
    }
    return integers;
}

void json_reader::finish()
{
    if (!m_object)
        return;
    for (auto const& [name, value] : *m_object) {
        if (std::find(m_knownFields.begin(), m_knownFields.end(), std::string_view { name }) == m_knownFields.end())
            m_problems.push_back(fieldPath(name) + ": unknown field");
    }
}

std::optional<json::value> parseJson(std::string_view text, std::vector<std::string>& problems)
{
    json::error_code failure;
    auto value = json::parse(text, failure);
    if (!failure)
        return value;
    problems.push_back("(root): expected JSON: " + failure.message());
    return std::nullopt;
}

}

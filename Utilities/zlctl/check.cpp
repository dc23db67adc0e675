#include "Utilities/zlctl/check.h"

#include "platform/declaration_codec.h"
#include <algorithm>
#include <boost/json.hpp>

namespace zinnialedge::utilities::control {

namespace json = boost::json;

/// Returns "line L, column C" of the byte.
static std::string positionOf(std::string_view text, std::size_t byte)
{
    auto const before = text.substr(0, std::min(byte, text.size()));
    auto const line = 1 + std::count(before.begin(), before.end(), '\n');
    auto const column = before.size() - (before.rfind('\n') + 1) + 1;
    return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

bool checkConfigurationText(std::string const& text, std::ostream& out)
{
    json::error_code failure;
    json::stream_parser parser;
    auto const parsedBytes = parser.write_some(text, failure);
    if (!failure && !parser.done())
        parser.finish(failure);
    if (failure) {
        out << "unusable: " << positionOf(text, parsedBytes) << ": not JSON: " << failure.message() << "\n";
        return false;
    }
    auto const document = parser.release();
    // An object of the store has its content in a field.
    auto const* const object = document.if_object();
    auto const* const content = object && !object->contains("routes") ? object->if_contains("spec") : nullptr;
    auto const findings = platform::checkConfiguration(content ? *content : document);
    for (auto const& each : findings.faults)
        out << "unusable: " << each << "\n";
    for (auto const& each : findings.heldNumbers)
        out << "held: '" << each.field << "' is " << each.declared << ", which counts as " << each.bound << "\n";
    out << (findings.faults.empty() ? "daemons would use this version" : "daemons would keep the former version") << "\n";
    return findings.faults.empty();
}

}

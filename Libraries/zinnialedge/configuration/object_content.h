#pragma once

#include "Libraries/zinnialedge/configuration/writer_history.h"
#include "Libraries/zinnialedge/errors/error_kind.h"
#include "Libraries/zinnialedge/model/service_declaration.h"
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace zinnialedge::configuration {

/// A service object as the store holds it. A removed service leaves one without a declaration, so that its version still
/// goes forward and its last writer can be read back.
struct service_object {
    std::string name;
    std::optional<model::service_declaration> declaration;
    writer_history writers;

    bool operator==(service_object const&) const = default;
};

/// An object without a declaration that was removed parses; one that is no service object gives every wrong field.
errors::error_or<service_object> parseServiceObject(std::string_view text);
std::string formatServiceObject(service_object const&);

using field_values = std::map<std::string, std::string>;

/// Every field of a declaration by a name of its own, as operators write the values. Empty for nothing.
field_values fieldsOf(std::optional<model::service_declaration> const&);

/// One field that a change sets, adds or removes.
struct field_change {
    std::string field;
    /// Nothing when the field is added.
    std::optional<std::string> before;
    /// Nothing when the field is removed.
    std::optional<std::string> after;

    bool operator==(field_change const&) const = default;
};

std::vector<field_change> changesBetween(field_values const& before, field_values const& after);

}

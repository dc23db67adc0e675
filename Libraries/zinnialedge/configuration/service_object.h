#pragma once

#include "Libraries/zinnialedge/configuration/writer_history.h"
#include "Libraries/zinnialedge/errors/error_kind.h"
#include "Libraries/zinnialedge/model/service_declaration.h"
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace zinnialedge::configuration {

/// Service object as stored in the platform's store. A removed service leaves an object without a declaration, so that the
/// object's version still increases and the last writer can be read back.
struct service_object {
    std::string name;
    std::optional<model::service_declaration> declaration;
    writer_history writers;

    bool operator==(service_object const&) const = default;
};

/// Parses a service object, including the object of a removed service. Returns an error that names every invalid field.
errors::error_or<service_object> parseServiceObject(std::string_view text);
std::string formatServiceObject(service_object const&);

/// Values by field name.
using field_values = std::map<std::string, std::string>;

/// Returns every field of a declaration under a unique name, with the value as operators write the value. Returns an empty map
/// when there is no declaration.
field_values toFieldValues(std::optional<model::service_declaration> const&);

/// Field that a change sets, adds or removes.
struct field_change {
    std::string field;
    /// Value before the change, or nothing when the field is added.
    std::optional<std::string> before;
    /// Value after the change, or nothing when the field is removed.
    std::optional<std::string> after;

    bool operator==(field_change const&) const = default;
};

/// Returns the fields whose values differ.
std::vector<field_change> compareFields(field_values const& before, field_values const& after);

}

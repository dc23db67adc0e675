#pragma once

#include "Libraries/zinnialedge/configuration/object_content.h"
#include "Libraries/zinnialedge/language/command.h"
#include <functional>
#include <map>
#include <vector>

namespace zinnialedge::configuration {

/// The commands of one text that change one object, in their order.
struct object_commands {
    std::string service;
    std::vector<language::statement> statements;
};

/// The changing commands by object; those that only show are left out.
std::vector<object_commands> groupByObject(std::vector<language::statement> const&);

/// The declaration after the commands of one partner. It is whole or an error:
/// `not_permitted` for a service of another partner, `malformed_command` for what makes no sense.
errors::error_or<std::optional<model::service_declaration>> applyCommands(std::optional<model::service_declaration> current, object_commands const&, std::string const& partner);

/// What a text changes in one service.
struct planned_change {
    std::string service;
    std::vector<field_change> fields;

    bool operator==(planned_change const&) const = default;
};

using declaration_lookup = std::function<std::optional<model::service_declaration>(std::string const& service)>;

/// What a text changes; services that stay as they are are left out. Every error of the text, if there are any.
tl::expected<std::vector<planned_change>, std::vector<errors::error>> plan(std::vector<language::statement> const&, std::string const& partner, declaration_lookup const& current);

}

#pragma once

#include "Libraries/zinnialedge/configuration/service_object.h"
#include "Libraries/zinnialedge/language/command.h"
#include <functional>
#include <map>
#include <vector>

namespace zinnialedge::configuration {

/// Commands of a text that change one service object, in the order of the text.
struct service_commands {
    std::string service;
    std::vector<language::statement> statements;
};

/// Groups the commands that change a service by service. Omits `show` commands and share declarations.
std::vector<service_commands> groupByService(std::vector<language::statement> const&);

/// Applies all commands of one partner to a declaration and returns the resulting declaration, or nothing when the commands
/// remove the service. No command takes effect if one of them fails: returns `not_permitted` for a service of another partner
/// and `malformed_command` for an invalid command.
errors::error_or<std::optional<model::service_declaration>> applyCommands(std::optional<model::service_declaration> current, service_commands const&, std::string const& partner);

/// Fields of one service that a text changes.
struct planned_change {
    std::string service;
    std::vector<field_change> fields;

    bool operator==(planned_change const&) const = default;
};

/// Returns the current declaration of a service, or nothing when the service does not exist.
using declaration_lookup = std::function<std::optional<model::service_declaration>(std::string const& service)>;

/// Returns the changes that a text makes, without services that stay unchanged, or every error of the text.
tl::expected<std::vector<planned_change>, std::vector<errors::error>> plan(std::vector<language::statement> const&, std::string const& partner, declaration_lookup const& current);

}

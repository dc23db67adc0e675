#pragma once

#include <boost/json/value.hpp>
#include <ostream>

namespace zinnialedge::utilities::control {

/// The results of a text that was applied, one line for each service.
void printResults(std::ostream&, boost::json::value const& reply);
/// The changes that a text would make, one line for each field.
void printChanges(std::ostream&, boost::json::value const& reply);
/// What a show found, as a table.
void printShown(std::ostream&, boost::json::value const& reply);
/// The services that a show found, as statements.
void printDeclarations(std::ostream&, boost::json::value const& reply);

}

#pragma once

#include <boost/json/value.hpp>
#include <ostream>

namespace zinnialedge::utilities::control {

/// Prints the results of applied statements, one line for each service.
void printResults(std::ostream&, boost::json::value const& reply);
/// Prints the changes that statements would make, one line for each field.
void printChanges(std::ostream&, boost::json::value const& reply);
/// Prints the result of a show statement as a table.
void printShowResult(std::ostream&, boost::json::value const& reply);
/// Prints the services in the result of a show statement as declarations.
void printDeclarations(std::ostream&, boost::json::value const& reply);

}

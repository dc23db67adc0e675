#pragma once

#include <boost/json/value.hpp>
#include <ostream>

namespace zinnialedge::utilities::control {

/// Prints an explanation of a request. Of a query over many shards it lists only those that deserve a look.
void printRoute(std::ostream&, boost::json::value const& explanation);

}

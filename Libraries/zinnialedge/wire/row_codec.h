#pragma once

#include "Libraries/zinnialedge/model/query.h"
#include <boost/json/fwd.hpp>
#include <vector>

namespace zinnialedge::wire {

/// Returns the rows as a JSON array of [key, value] pairs of strings.
boost::json::array formatRows(std::vector<model::row> const&);
/// Appends the rows of a JSON array of string pairs. Returns false when `value` is null or has another form; `rows` may
/// then contain the rows before the first invalid item.
bool parseRows(boost::json::value const* value, std::vector<model::row>& rows);

}

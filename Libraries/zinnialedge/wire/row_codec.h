#pragma once

#include "Libraries/zinnialedge/model/query.h"
#include <boost/json/fwd.hpp>
#include <vector>

namespace zinnialedge::wire {

/// Rows as a list of pairs of texts.
boost::json::array formatRows(std::vector<model::row> const&);
/// False when the value is anything else; it may be null.
bool parseRows(boost::json::value const* value, std::vector<model::row>& rows);

}

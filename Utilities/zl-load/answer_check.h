#pragma once

#include "Libraries/zinnialedge/model/query.h"
#include <optional>
#include <string>

namespace zinnialedge::utilities::load {

/// What is wrong with an answer, if anything. Rows of the target stand-in tell the shard and the snapshot they come
/// from as "s3e1v7", so a mixed snapshot or a false coverage shows.
std::optional<std::string> findFault(model::answer const&, std::string const& requestId);

}

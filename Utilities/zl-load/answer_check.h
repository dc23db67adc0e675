#pragma once

#include "Libraries/zinnialedge/model/query.h"
#include <optional>
#include <string>

namespace zinnialedge::utilities::load {

/// Returns a description of the first error in an answer, or no value when the answer is correct. Each row of the target
/// stand-in contains its shard, epoch and version as "s3e1v7", which reveals mixed snapshots and wrong coverage.
std::optional<std::string> findAnswerError(model::answer const&, std::string const& requestId);

}

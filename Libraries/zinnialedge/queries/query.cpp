#include "Libraries/zinnialedge/queries/query.h"

#include <algorithm>
#include <iterator>

namespace zinnialedge::queries {

model::answer mergeAnswer(query& completedQuery)
{
    model::answer answer;
    answer.id = completedQuery.request->id;
    answer.reflects = completedQuery.pin;
    answer.covered.asked = static_cast<std::uint32_t>(completedQuery.shards.size());
    for (auto& shard : completedQuery.shards) {
        if (!shard.isAnswered) {
            answer.covered.missing.push_back({ shard.shard, shard.missingReason.value_or(shard.latestMissingReason) });
            continue;
        }
        ++answer.covered.answered;
        std::move(shard.rows.begin(), shard.rows.end(), std::back_inserter(answer.rows));
    }
    std::sort(answer.rows.begin(), answer.rows.end());
    return answer;
}

}

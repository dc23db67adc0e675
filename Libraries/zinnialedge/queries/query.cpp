#include "Libraries/zinnialedge/queries/query.h"

#include <algorithm>
#include <iterator>

namespace zinnialedge::queries {

model::answer mergeAnswer(query& merged)
{
    model::answer answer;
    answer.id = merged.request->id;
    answer.reflects = merged.pin;
    answer.covered.asked = static_cast<std::uint32_t>(merged.shards.size());
    for (auto& shard : merged.shards) {
        if (!shard.isAnswered) {
            answer.covered.missing.push_back({ shard.shard, shard.missing.value_or(shard.reasonSoFar) });
            continue;
        }
        ++answer.covered.answered;
        std::move(shard.rows.begin(), shard.rows.end(), std::back_inserter(answer.rows));
    }
    std::sort(answer.rows.begin(), answer.rows.end());
    return answer;
}

}

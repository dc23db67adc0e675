#include "Utilities/zl-load/answer_check.h"

#include <charconv>
#include <set>

namespace zinnialedge::utilities::load {

struct row_origin {
    std::uint32_t shard { 0 };
    model::snapshot reflects;
};

static std::optional<row_origin> parseOrigin(std::string const& value)
{
    row_origin origin;
    auto const* end = value.data() + value.size();
    auto const* position = value.data();
    auto const readNumber = [&](char letter, auto& number) {
        if (position == end || *position != letter)
            return false;
        auto const result = std::from_chars(position + 1, end, number);
        position = result.ptr;
        return result.ec == std::errc {};
    };
    if (!readNumber('s', origin.shard) || !readNumber('e', origin.reflects.epoch) || !readNumber('v', origin.reflects.version) || position != end)
        return std::nullopt;
    return origin;
}

std::optional<std::string> findAnswerError(model::answer const& answer, std::string const& requestId)
{
    if (answer.id != requestId && !answer.isRemembered)
        return "the answer belongs to request " + answer.id;
    if (answer.covered.answered + answer.covered.missing.size() != answer.covered.asked)
        return "the numbers of answered and missing shards do not add up to the number of queried shards";
    std::set<std::uint32_t> shards;
    for (auto const& row : answer.rows) {
        auto const origin = parseOrigin(row.value);
        if (!origin)
            return "row with an unknown format: " + row.value;
        if (origin->reflects != answer.reflects)
            return "row from a snapshot other than the answer's: " + row.value;
        shards.insert(origin->shard);
    }
    for (auto const& missing : answer.covered.missing) {
        if (shards.contains(missing.shard))
            return "shard " + std::to_string(missing.shard) + " is reported as missing, but has rows";
    }
    if (!answer.rows.empty() && shards.size() != answer.covered.answered)
        return "rows from " + std::to_string(shards.size()) + " shards, but the coverage counts " + std::to_string(answer.covered.answered);
    return std::nullopt;
}

}

#include "Libraries/zinnialedge/model/service_declaration.h"

#include <algorithm>
#include <xxhash.h>

namespace zinnialedge::model {

request_kind_declaration const* service_declaration::findRequestKind(std::string_view requestName) const
{
    auto const found = std::find_if(requests.begin(), requests.end(), [&](auto const& each) { return each.name == requestName; });
    return found == requests.end() ? nullptr : &*found;
}

std::string_view toString(coverage_policy policy)
{
    return policy == coverage_policy::whole ? "whole" : "partial";
}

std::uint32_t shardOfKey(std::string_view key, std::uint32_t shardCount)
{
    // The hash space is divided into shardCount ranges of equal size; the high bits of the product are the index of the range.
    constexpr unsigned hashHalfBits = 32;
    auto const hash = XXH3_64bits(key.data(), key.size()) >> hashHalfBits;
    return static_cast<std::uint32_t>((hash * shardCount) >> hashHalfBits);
}

}

#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace zinnialedge::forwarding {

inline constexpr std::size_t recordBytes = 16;

/// Merges the greatest `limit` records of all parts in descending byte order. Duplicate records are kept. An incomplete record
/// at the end of a part is ignored.
std::string mergeGreatestRecords(std::span<std::string const* const> parts, std::size_t limit);

}

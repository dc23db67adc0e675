#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace zinnialedge::forwarding {

inline constexpr std::size_t recordBytes = 16;

/// The greatest `limit` records of all parts, greatest first, compared byte by byte. Equal records all count; a rest of a
/// part that is shorter than a record is none.
std::string mergeGreatest(std::span<std::string const* const> parts, std::size_t limit);

}

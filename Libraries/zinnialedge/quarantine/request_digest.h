#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinnialedge::quarantine {

/// Identifies equal requests across attempts and daemons.
struct request_digest {
    static constexpr std::size_t byteCount = 16;

    std::array<std::uint8_t, byteCount> bytes {};

    auto operator<=>(request_digest const&) const = default;
};

/// Digests of one request, the most exact one first. Leafs that were lost under requests that share a digest count together.
using request_digests = std::vector<request_digest>;

/// Returns the digest of the fields of a request. Requests with other fields, or with the same text divided differently, have other
/// digests.
request_digest computeDigest(std::initializer_list<std::string_view> fields);
/// Returns the digest in hexadecimal digits.
std::string toString(request_digest const&);
/// Returns the digest with the given bytes, or nothing when their number is wrong.
std::optional<request_digest> digestFromBytes(std::string_view bytes);

}

#pragma once

#include "Libraries/zinnialedge/errors/error_kind.h"
#include <array>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinnialedge::configuration {

/// Keys that authenticate operators as members of a partner. Only the digests of the keys are retained.
class partner_keys {
public:
    /// Reads the key file of each partner. Rejects a key file that is accessible to users other than the owner, a key that is too
    /// short, and a key of two partners.
    static errors::error_or<partner_keys> load(std::map<std::string, std::string> const& files);

    /// Returns the partner with the given key. The duration of the search does not depend on which key matches.
    std::optional<std::string> findPartner(std::string_view key) const;

    /// Minimum length of a key in characters.
    static constexpr std::size_t minimumKeyLength = 16;

private:
    static constexpr std::size_t digestBytes = 32;
    using digest = std::array<unsigned char, digestBytes>;

    struct partner_key {
        std::string partner;
        digest key;
    };

    static digest computeDigest(std::string_view key);

    std::vector<partner_key> m_keys;
};

}

#pragma once

#include "Libraries/zinnialedge/errors/error_kind.h"
#include <array>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinnialedge::configuration {

/// The keys by which operators prove whose they are. Only digests are kept.
class partner_keys {
public:
    /// Reads the key file of each partner. A file that others than its owner may read, or with a short key, is refused.
    static errors::error_or<partner_keys> load(std::map<std::string, std::string> const& files);

    /// Whose key it is. The time that it takes does not depend on the key.
    std::optional<std::string> findPartner(std::string_view key) const;

    static constexpr std::size_t shortestKey = 16;

private:
    static constexpr std::size_t digestBytes = 32;
    using digest = std::array<unsigned char, digestBytes>;

    struct partner_key {
        std::string partner;
        digest key;
    };

    static digest digestOf(std::string_view key);

    std::vector<partner_key> m_keys;
};

}

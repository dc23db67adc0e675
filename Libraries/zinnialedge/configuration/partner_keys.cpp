#include "Libraries/zinnialedge/configuration/partner_keys.h"

#include <filesystem>
#include <fstream>
#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace zinnialedge::configuration {

using errors::error_kind;
namespace filesystem = std::filesystem;

partner_keys::digest partner_keys::computeDigest(std::string_view key)
{
    digest result {};
    SHA256(reinterpret_cast<unsigned char const*>(key.data()), key.size(), result.data());
    return result;
}

static errors::error_or<std::string> readKey(std::string const& partner, std::string const& file)
{
    std::error_code failure;
    auto const status = filesystem::status(file, failure);
    if (failure || !filesystem::is_regular_file(status))
        return errors::makeError(error_kind::internal, "can't read the key file of partner " + partner + ": " + file);
    constexpr auto forbidden = filesystem::perms::group_all | filesystem::perms::others_all;
    if ((status.permissions() & forbidden) != filesystem::perms::none)
        return errors::makeError(error_kind::internal, "the key file of partner " + partner + " is accessible to users other than the owner; use mode 600: " + file);
    std::ifstream stream { file };
    std::string key;
    std::getline(stream, key);
    if (key.size() < partner_keys::minimumKeyLength)
        return errors::makeError(error_kind::internal, "the key of partner " + partner + " requires at least " + std::to_string(partner_keys::minimumKeyLength) + " characters on one line: " + file);
    return key;
}

errors::error_or<partner_keys> partner_keys::load(std::map<std::string, std::string> const& files)
{
    partner_keys keys;
    for (auto const& [partner, file] : files) {
        auto const key = readKey(partner, file);
        if (!key)
            return tl::unexpected(key.error());
        if (keys.findPartner(*key))
            return errors::makeError(error_kind::internal, "two partners have the same key: " + file);
        keys.m_keys.push_back({ partner, computeDigest(*key) });
    }
    return keys;
}

std::optional<std::string> partner_keys::findPartner(std::string_view key) const
{
    auto const wanted = computeDigest(key);
    std::optional<std::string> found;
    // Every key is compared, so that the duration does not reveal which key matched.
    for (auto const& candidate : m_keys) {
        if (CRYPTO_memcmp(candidate.key.data(), wanted.data(), wanted.size()) == 0)
            found = candidate.partner;
    }
    return found;
}

}

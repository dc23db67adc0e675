#include "Libraries/zinnialedge/quarantine/request_digest.h"

#include <algorithm>
#include <boost/algorithm/hex.hpp>
#include <iterator>
#include <openssl/sha.h>

namespace zinnialedge::quarantine {

request_digest computeDigest(std::initializer_list<std::string_view> fields)
{
    // A cryptographic hash: a caller must not be able to make up a request with the digest of another caller's request.
    std::array<unsigned char, SHA256_DIGEST_LENGTH> hash {};
    std::string text;
    for (auto const field : fields)
        text += std::to_string(field.size()) + ":";
    for (auto const field : fields)
        text += field;
    SHA256(reinterpret_cast<unsigned char const*>(text.data()), text.size(), hash.data());
    request_digest digest;
    std::copy_n(hash.begin(), request_digest::byteCount, digest.bytes.begin());
    return digest;
}

std::string toString(request_digest const& digest)
{
    std::string text;
    boost::algorithm::hex_lower(digest.bytes.begin(), digest.bytes.end(), std::back_inserter(text));
    return text;
}

std::optional<request_digest> digestFromBytes(std::string_view bytes)
{
    if (bytes.size() != request_digest::byteCount)
        return std::nullopt;
    request_digest digest;
    std::copy(bytes.begin(), bytes.end(), digest.bytes.begin());
    return digest;
}

}

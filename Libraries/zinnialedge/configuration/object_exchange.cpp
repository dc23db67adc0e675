#include "Libraries/zinnialedge/configuration/object_exchange.h"

#include <xxhash.h>

namespace zinnialedge::configuration {

static bool isRegistration(stored_object const& object)
{
    return object.key.starts_with(daemonPrefix);
}

std::vector<objects_request> makeObjectsRequests(object_cache const& objects, model::endpoint const& replyTo)
{
    std::vector<objects_request> pages(1);
    pages.back().replyTo = replyTo;
    objects.forEachWithPrefix("", [&](stored_object const& object) {
        if (isRegistration(object))
            return;
        if (pages.back().known.size() == versionsPerPage)
            pages.push_back({ replyTo, pages.back().known.back().key, {}, false });
        pages.back().known.push_back({ object.key, object.version });
    });
    pages.back().isLastPage = true;
    return pages;
}

std::vector<stored_object> findNewerObjects(object_cache const& objects, objects_request const& request)
{
    std::vector<stored_object> newer;
    auto known = request.known.begin();
    objects.forEachWithPrefix("", [&](stored_object const& object) {
        bool const isPastRange = !request.isLastPage && (request.known.empty() || object.key > request.known.back().key);
        if (isRegistration(object) || object.key <= request.after || isPastRange)
            return;
        while (known != request.known.end() && known->key < object.key)
            ++known;
        bool const isKnown = known != request.known.end() && known->key == object.key;
        if (!isKnown || known->version < object.version)
            newer.push_back(object);
    });
    return newer;
}

std::uint64_t computeDigest(object_cache const& objects)
{
    // The hashes are combined by XOR, which does not depend on their order, so that a cache could update the digest per object.
    std::uint64_t digest = 0;
    objects.forEachWithPrefix("", [&](stored_object const& object) {
        if (!isRegistration(object))
            digest ^= XXH3_64bits_withSeed(object.key.data(), object.key.size(), object.version);
    });
    return digest;
}

}

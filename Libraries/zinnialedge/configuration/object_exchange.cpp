#include "Libraries/zinnialedge/configuration/object_exchange.h"

#include <xxhash.h>

namespace zinnialedge::configuration {

static bool isRegistration(stored_object const& object)
{
    return object.key.starts_with(daemonPrefix);
}

std::vector<objects_asked> makePages(object_cache const& objects, model::endpoint const& replyTo)
{
    std::vector<objects_asked> pages(1);
    pages.back().replyTo = replyTo;
    objects.forEach("", [&](stored_object const& object) {
        if (isRegistration(object))
            return;
        if (pages.back().known.size() == versionsPerPage)
            pages.push_back({ replyTo, pages.back().known.back().key, {}, false });
        pages.back().known.push_back({ object.key, object.version });
    });
    pages.back().isLastPage = true;
    return pages;
}

std::vector<stored_object> newerThan(object_cache const& objects, objects_asked const& asked)
{
    std::vector<stored_object> newer;
    auto known = asked.known.begin();
    objects.forEach("", [&](stored_object const& object) {
        bool const isBeyond = !asked.isLastPage && (asked.known.empty() || object.key > asked.known.back().key);
        if (isRegistration(object) || object.key <= asked.after || isBeyond)
            return;
        while (known != asked.known.end() && known->key < object.key)
            ++known;
        bool const isKnown = known != asked.known.end() && known->key == object.key;
        if (!isKnown || known->version < object.version)
            newer.push_back(object);
    });
    return newer;
}

std::uint64_t digestOf(object_cache const& objects)
{
    // Combined without order, so that a cache can later keep it up to date object by object.
    std::uint64_t digest = 0;
    objects.forEach("", [&](stored_object const& object) {
        if (!isRegistration(object))
            digest ^= XXH3_64bits_withSeed(object.key.data(), object.key.size(), object.version);
    });
    return digest;
}

}

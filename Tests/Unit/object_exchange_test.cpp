#include "Libraries/zinnialedge/wire/peer_codec.h"
#include <CppUTest/TestHarness.h>

using namespace zinnialedge;
using namespace zinnialedge::configuration;

TEST_GROUP(ObjectExchange)
{
    model::endpoint const replyEndpoint { "127.0.0.1", 7000 };

    static object_cache makeCache(std::size_t count)
    {
        object_cache objects;
        for (std::size_t index = 0; index < count; ++index)
            objects.offer({ "services/s" + std::to_string(10'000 + index), 1, "{}" });
        return objects;
    }

    // Transfers the newer objects and passes every message through the codec.
    void pull(object_cache & requester, object_cache const& responder) const
    {
        for (auto const& page : makeObjectsRequests(requester, replyEndpoint)) {
            auto const encoded = wire::encodePeerMessage({ 0, page });
            auto const decoded = wire::decodePeerMessage(std::string_view { encoded }.substr(wire::peerLengthPrefixBytes));
            for (auto const& object : findNewerObjects(responder, std::get<objects_request>(decoded->content))) {
                auto const pushed = wire::encodePeerMessage({ 0, object });
                auto const received = wire::decodePeerMessage(std::string_view { pushed }.substr(wire::peerLengthPrefixBytes));
                CHECK(requester.offer(std::get<stored_object>(received->content)));
            }
        }
    }
};

TEST(ObjectExchange, PullOverSeveralPagesTransfersOnlyNewerObjects)
{
    auto newer = makeCache(3 * versionsPerPage);
    auto older = makeCache(2 * versionsPerPage + 7);
    newer.offer({ "services/s10003", 5, std::nullopt });
    newer.offer({ "services/a", 2, "{}" });
    older.offer({ "services/s10004", 9, "{}" });
    CHECK(computeDigest(newer) != computeDigest(older));
    pull(older, newer);
    CHECK(!older.find("services/s10003")->body.has_value());
    LONGS_EQUAL(9, older.find("services/s10004")->version);
    pull(newer, older);
    LONGS_EQUAL(9, newer.find("services/s10004")->version);
    CHECK(computeDigest(newer) == computeDigest(older));
}

TEST(ObjectExchange, DigestExcludesRegistrations)
{
    auto objects = makeCache(3);
    auto const before = computeDigest(objects);
    objects.offer({ "daemons/suva-1", 4, "{}" });
    CHECK(before == computeDigest(objects));
}

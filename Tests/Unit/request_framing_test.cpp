#include "Libraries/zinnialedge/wire/request_framing.h"
#include <CppUTest/TestHarness.h>
#include <vector>

using namespace zinnialedge;

TEST_GROUP(RequestFraming) {};

TEST(RequestFraming, OnlyChunkedWithoutALengthIsCertain)
{
    using values = std::vector<std::string_view>;
    CHECK(wire::isFramingCertain({ {}, false, 11 }));
    CHECK(wire::isFramingCertain({ {}, true, 10 }));
    CHECK(wire::isFramingCertain({ values { "chunked" }, false, 11 }));
    CHECK(wire::isFramingCertain({ values { "Chunked" }, false, 11 }));
    CHECK_FALSE(wire::isFramingCertain({ values { "chunked" }, true, 11 }));
    CHECK_FALSE(wire::isFramingCertain({ values { "chunked" }, false, 10 }));
    CHECK_FALSE(wire::isFramingCertain({ values { "chunked", "chunked" }, false, 11 }));
    for (auto const* const value : { "", "gzip", "identity", "gzip, chunked", "chunked, gzip", "chunked, chunked", "chunked;a=b", "xchunked", "\"chunked\"" })
        CHECK_FALSE(wire::isFramingCertain({ values { value }, false, 11 }));
}

TEST(RequestFraming, FoldedLinesAreFoundInAnyPieces)
{
    struct {
        std::string_view head;
        bool isFolded;
    } const cases[] = {
        { "GET / HTTP/1.1\r\nHost: host\r\nX: a\r\n b\r\n\r\n", true },
        { "GET / HTTP/1.1\r\nHost: host\r\nX: a\r\n\tb\r\n\r\n", true },
        { "GET / HTTP/1.1\r\n Host: host\r\n\r\n", true },
        { "\r\nGET / HTTP/1.1\r\nHost: host\r\n\r\n body\r\n body", false },
        { "GET / HTTP/1.1\r\nHost: host\r\nX: a b \r\n\r\n", false },
    };
    for (auto const& each : cases) {
        for (std::size_t cut = 0; cut <= each.head.size(); ++cut) {
            wire::folded_line_finder finder;
            finder.add(each.head.substr(0, cut));
            finder.add(each.head.substr(cut));
            LONGS_EQUAL(each.isFolded, finder.hasFound());
        }
    }
}

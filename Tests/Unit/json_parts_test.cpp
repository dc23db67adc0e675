#include "Kernel/clock.h"
#include "Libraries/zinnialedge/wire/json_parts.h"
#include <boost/json.hpp>

// Included after the library headers, because CppUTest defines a macro `new` that breaks them.
#include <CppUTest/TestHarness.h>

using namespace zinnialedge;
using wire::memberValue;
using wire::splitJsonArray;
using wire::splitJsonObject;

TEST_GROUP(JsonParts)
{
    kernel::random_hook random = kernel::makeSeededRandom(41);

    boost::json::value makeValue(unsigned depth)
    {
        switch (random() % (depth == 0 ? 4 : 6)) {
        case 0:
            return nullptr;
        case 1:
            return static_cast<std::int64_t>(random() % 1000) - 500;
        case 2:
            return random() % 2 == 0;
        case 3: {
            static constexpr std::string_view letters = "ab\"\\{}[],: \n\t\x7f";
            boost::json::string text;
            for (auto length = random() % 8; length > 0; --length)
                text.push_back(letters[random() % letters.size()]);
            return text;
        }
        case 4: {
            boost::json::array array;
            for (auto size = random() % 4; size > 0; --size)
                array.push_back(makeValue(depth - 1));
            return array;
        }
        default: {
            boost::json::object object;
            for (auto size = random() % 4; size > 0; --size)
                object["m" + std::to_string(size)] = makeValue(depth - 1);
            return object;
        }
        }
    }
};

// Guards against parts that differ from those that a parser of the whole text finds.
TEST(JsonParts, PartsOfRandomTextsAreThoseOfAParser)
{
    for (int count = 0; count < 2000; ++count) {
        auto const value = makeValue(4);
        auto const text = boost::json::serialize(value);
        auto const members = splitJsonObject(text);
        auto const elements = splitJsonArray(text);
        CHECK_EQUAL(value.is_object(), members.has_value());
        CHECK_EQUAL(value.is_array(), elements.has_value());
        if (members) {
            LONGS_EQUAL(value.get_object().size(), members->size());
            for (auto const& [name, member] : value.get_object())
                CHECK(boost::json::parse(memberValue(*members, name)) == member);
        }
        for (std::size_t index = 0; elements && index < elements->size(); ++index)
            CHECK(boost::json::parse((*elements)[index]) == value.get_array()[index]);
        // A text that was cut has no parts.
        for (std::size_t length = 0; length < text.size(); ++length) {
            CHECK_FALSE(splitJsonObject(std::string_view { text }.substr(0, length)).has_value());
            CHECK_FALSE(splitJsonArray(std::string_view { text }.substr(0, length)).has_value());
        }
    }
}

// Guards against recursion by the depth of a text.
TEST(JsonParts, DeepTextsAreSkipped)
{
    static constexpr std::size_t depth = 1'000'000;
    auto const text = "[" + std::string(depth, '[') + std::string(depth, ']') + ", {\"a\" : 1 } ]";
    auto const elements = splitJsonArray(text);
    LONGS_EQUAL(2, elements->size());
    LONGS_EQUAL(2 * depth, elements->front().size());
    CHECK("1 " == memberValue(*splitJsonObject(elements->back()), "a"));
}

TEST(JsonParts, TextsOfAnotherFormHaveNoParts)
{
    for (auto const* const text : { "", " ", "1", "{", "{]", "{\"a\"}", "{\"a\":}", "{a:1}", "{\"a\":1,}", "{\"a\":1}}", "{\"a\":\"b}", "{} {}" })
        CHECK_FALSE(splitJsonObject(text).has_value());
    for (auto const* const text : { "[", "[,]", "[1,]", "[1]]", "[\"]", "{}", "[] []" })
        CHECK_FALSE(splitJsonArray(text).has_value());
}

#include "Utilities/zlctl/check.h"
#include "platform/number_bounds.h"
#include <boost/algorithm/string/replace.hpp>
#include <fstream>
#include <sstream>

// CppUTest redefines `new`, so its header comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace zinnialedge;

namespace {

std::string const sound = R"({"version":1,"limits":{"max_header_bytes":16384,"max_body_bytes":0,"header_timeout_ms":3000,"idle_timeout_ms":3000},
"routes":[{"name":"r","host":"h","path_prefix":"/","kind":"idempotent","timeout_ms":100,"target_latency_ms":10,"attempts":2.0,"priority":1,"service":"desk"}],
"services":[{"name":"desk","max_conns":25}]})";

/// Checks the sound configuration after a replacement of its text.
std::string check(std::string const& before, std::string const& after, bool isUsable)
{
    std::ostringstream out;
    CHECK_EQUAL(isUsable, utilities::control::checkConfigurationText(boost::algorithm::replace_first_copy(sound, before, after), out));
    return out.str();
}

bool contains(std::string const& text, std::string const& part)
{
    return text.find(part) != std::string::npos;
}

}

TEST_GROUP(ConfigurationCheck) {};

// Guards against: a version that daemons would not use, or not as it stands, is written without anybody being told.
TEST(ConfigurationCheck, NamesEachFieldAndItsBound)
{
    STRCMP_EQUAL("daemons would use this version\n", check("", "", true).c_str());
    CHECK(contains(check("\"timeout_ms\":100", "\"timeout_ms\":-5", true), "held: 'routes[0].timeout_ms' is -5, which counts as 0\n"));
    CHECK(contains(check("\"max_header_bytes\":16384", "\"max_header_bytes\":4294967296", true), "held: 'limits.max_header_bytes' is 4294967296, which counts as 4294967295\n"));
    CHECK(contains(check("\"max_conns\":25", "\"max_conns\":0", false), "unusable: 'services[0].max_conns' is less than 1\n"));
    CHECK(contains(check("2.0", "2.5", false), "unusable: 'routes[0].attempts' is not an integer\n"));
    CHECK(contains(check("\"version\":1", "\"version\":18446744073709551615", false), "unusable: 'version' is out of range\n"));
    CHECK(contains(check("\"version\":1", "\"version\":1,", false), "unusable: line 1, column 14: not JSON"));
    auto const several = check("\"service\":\"desk\"}],\n\"services\":[{\"name\":\"desk\",", "\"split\":[{\"weight\":1}]}],\n\"services\":[{", false);
    CHECK(contains(several, "'routes[0].split[0].service' is missing") && contains(several, "'services[0].name' is missing"));
}

// Guards against: the page for operators names other bounds than those that are checked.
TEST(ConfigurationCheck, ThePageHasTheBoundsThatAreChecked)
{
    std::ifstream page { std::string { TESTS_FOLDER } + "/../docs/OPERATORS.md" };
    std::stringstream text;
    text << page.rdbuf();
    for (auto const& line : platform::formatNumberBounds())
        CHECK_TEXT(contains(text.str(), line + "\n"), line.c_str());
}

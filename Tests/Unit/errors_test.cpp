#include "Libraries/zinnialedge/errors/error_kind.h"
#include <CppUTest/TestHarness.h>

using namespace zinnialedge::errors;

TEST_GROUP(ErrorTable) {};

TEST(ErrorTable, EveryKindHasAUniqueNameThatParsesBack)
{
    for (std::size_t index = 0; index < errorKindCount(); ++index) {
        auto const kind = static_cast<error_kind>(index);
        auto const parsed = parseErrorKind(propertiesOf(kind).name);
        CHECK(parsed.has_value());
        CHECK(parsed == kind);
    }
}

TEST(ErrorTable, ClientErrorStatusImpliesRequestWasNotExecuted)
{
    for (std::size_t index = 0; index < errorKindCount(); ++index) {
        auto const& answer = propertiesOf(static_cast<error_kind>(index));
        bool const isClientMistake = answer.httpStatus >= 400 && answer.httpStatus < 500;
        if (isClientMistake)
            CHECK(answer.executionState == execution_state::no);
    }
}

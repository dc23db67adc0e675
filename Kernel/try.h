#pragma once

#include "Kernel/verify.h"
#include <tl/expected.hpp>
#include <utility>

/// Yields the value of an expected, or returns its error from the calling function.
#define TRY(expression)                                          \
    ({                                                           \
        auto&& tryResult = (expression);                         \
        if (!tryResult.has_value()) [[unlikely]]                 \
            return tl::unexpected(std::move(tryResult).error()); \
        std::move(tryResult).value();                            \
    })

/// The same for an expected of void.
#define TRY_VOID(expression)                                     \
    do {                                                         \
        auto&& tryResult = (expression);                         \
        if (!tryResult.has_value()) [[unlikely]]                 \
            return tl::unexpected(std::move(tryResult).error()); \
    } while (false)

/// Yields the value of an expected whose failure would be a bug.
#define MUST(expression)                  \
    ({                                    \
        auto&& mustResult = (expression); \
        VERIFY(mustResult.has_value());   \
        std::move(mustResult).value();    \
    })

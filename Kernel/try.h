#pragma once

#include "Kernel/verify.h"
#include <tl/expected.hpp>
#include <utility>

/// Evaluates to the value of an `expected`, or returns its error from the enclosing function.
#define TRY(expression)                                          \
    ({                                                           \
        auto&& tryResult = (expression);                         \
        if (!tryResult.has_value()) [[unlikely]]                 \
            return tl::unexpected(std::move(tryResult).error()); \
        std::move(tryResult).value();                            \
    })

/// Returns the error of an `expected<void>` from the enclosing function, if there is an error.
#define TRY_VOID(expression)                                     \
    do {                                                         \
        auto&& tryResult = (expression);                         \
        if (!tryResult.has_value()) [[unlikely]]                 \
            return tl::unexpected(std::move(tryResult).error()); \
    } while (false)

/// Evaluates to the value of an `expected`, and aborts if there is an error, because an error here would be a bug.
#define MUST(expression)                  \
    ({                                    \
        auto&& mustResult = (expression); \
        VERIFY(mustResult.has_value());   \
        std::move(mustResult).value();    \
    })

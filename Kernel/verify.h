#pragma once

#include <source_location>

namespace zinnialedge::kernel {

/// Prints the violated condition with its file and line, and aborts the process.
[[noreturn]] void abortOnViolatedInvariant(char const* condition, std::source_location where);

}

/// Aborts the process when an invariant does not hold. Use for bugs only, never for invalid input.
#define VERIFY(condition)                                                                                 \
    do {                                                                                                  \
        if (!(condition)) [[unlikely]]                                                                    \
            ::zinnialedge::kernel::abortOnViolatedInvariant(#condition, std::source_location::current()); \
    } while (false)

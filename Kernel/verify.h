#pragma once

#include <source_location>

namespace zinnialedge::kernel {

/// Prints the broken invariant with its place and aborts the process.
[[noreturn]] void failVerification(char const* condition, std::source_location where);

}

/// States an invariant. A false condition is a bug, never an input error.
#define VERIFY(condition)                                                                         \
    do {                                                                                          \
        if (!(condition)) [[unlikely]]                                                            \
            ::zinnialedge::kernel::failVerification(#condition, std::source_location::current()); \
    } while (false)

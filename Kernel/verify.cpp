#include "Kernel/verify.h"

#include <cstdio>
#include <cstdlib>

namespace zinnialedge::kernel {

void abortOnViolatedInvariant(char const* condition, std::source_location where)
{
    std::fprintf(stderr, "event=verification_failed condition=\"%s\" file=%s line=%u\n", condition, where.file_name(), where.line());
    std::abort();
}

}

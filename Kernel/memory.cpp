#include "Kernel/memory.h"

#include <malloc.h>

namespace zinnialedge::kernel {

/// Larger than the buffers of ordinary requests, for which system calls would cost more.
static constexpr int separateMappingBytes = 128 * 1024;

void limitRetainedMemory()
{
    // Otherwise the allocator raises the threshold with each large buffer, and then keeps such buffers in its heap, which fragments.
    ::mallopt(M_MMAP_THRESHOLD, separateMappingBytes);
    ::mallopt(M_TRIM_THRESHOLD, 2 * separateMappingBytes);
}

}

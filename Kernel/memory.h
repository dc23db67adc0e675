#pragma once

namespace zinnialedge::kernel {

/// Makes the allocator return large buffers to the system as soon as they are freed. Call at the start of the process.
void limitRetainedMemory();

}

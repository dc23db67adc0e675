#pragma once

#include <cstddef>

namespace zinnialedge::limits {

/// Greatest numbers of connections that a daemon accepts at its ports. The rest of the descriptors is for connections to leafs, to other
/// daemons and to the store.
struct connection_shares {
    std::size_t callers { 0 };
    std::size_t relays { 0 };
    std::size_t directory { 0 };
    std::size_t readiness { 0 };
    std::size_t peers { 0 };
    std::size_t operators { 0 };

    bool operator==(connection_shares const&) const = default;
};

/// Memory, in bytes, that the connections of a daemon may take together. The sum leaves half of the VM's memory to the daemon itself.
struct memory_shares {
    /// Requests that are not complete, and answers that are not read.
    std::size_t callerBuffers { 0 };
    /// Requests that wait for their answers.
    std::size_t openRequests { 0 };
    /// Replies of leafs that are not complete.
    std::size_t leafReplies { 0 };
    /// Requests and responses at the port of the other daemons.
    std::size_t peers { 0 };
    /// The same at each of the other ports.
    std::size_t otherPort { 0 };

    bool operator==(memory_shares const&) const = default;
};

/// Returns the shares of a process that may have so many descriptors.
connection_shares shareDescriptors(std::size_t descriptors);
/// Returns the shares of a process that may use so many MiB.
memory_shares shareMemory(std::size_t megabytes);

}

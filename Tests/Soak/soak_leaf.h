#pragma once

#include "Tests/Soak/limit_watch.h"
#include "Tests/Soak/soak_watches.h"
#include "Tests/Support/edge_fleet.h"
#include "Tests/Support/loopback_proxy.h"

namespace zinnialedge::tests::soak {

constexpr std::chrono::milliseconds leafDownTime { 1000 };

/// A leaf with the proxy through which the daemons reach it.
struct soak_leaf {
    soak_leaf(boost::asio::io_context&, std::string leafId, std::string leafService, std::string leafDataCentre, soak_watches&, std::uint64_t seed);

    /// Returns the id of the current incarnation: a leaf that has ended comes back under another id.
    std::string id() const { return name + "." + std::to_string(leaf.endCount()); }

    scripted_reply answer(std::string const& request, std::string const& source, soak_watches&);

    std::string name;
    std::string service;
    std::string dataCentre;
    kernel::random_hook random;
    std::string registeredId;
    std::atomic<bool> hasHealthyLink { true };
    std::atomic<unsigned> faultsPerThousand { 0 };
    std::atomic<bool> isLeaving { false };
    /// Pause for which the leaf asks in half of its replies; zero for none.
    std::atomic<std::chrono::milliseconds> pauseLength { std::chrono::milliseconds { 0 } };
    limit_watch limits;
    std::int64_t startedAt { edge_fleet::firstStartTime };
    scripted_leaf leaf;
    loopback_proxy proxy;
};

}

#pragma once

#include <chrono>

// Shortest times after which callers of rejected requests should return. What a caller is told is up to twice as long, so that callers that
// were rejected together do not return together.

namespace zinnialedge::forwarding {

/// While no configuration is loaded: about the time in which a starting daemon reads its configuration.
inline constexpr std::chrono::milliseconds noConfigurationRetryAfter { 300 };
/// When the daemon is at capacity: about the time in which other requests end.
inline constexpr std::chrono::milliseconds atCapacityRetryAfter { 120 };
/// When no leaf is available: about half a heartbeat, in which the registrations may change.
inline constexpr std::chrono::milliseconds noLeafRetryAfter { 600 };
/// When the leafs that a request needs are in evacuated data centres. The end of an evacuation is unknown; callers learn of it within a second
/// or two without asking more often than a service without leafs can reject.
inline constexpr std::chrono::milliseconds evacuationRetryAfter { 1000 };
/// When no daemon reaches leafs: about the time in which returned links are noticed.
inline constexpr std::chrono::milliseconds linksLostRetryAfter { 400 };

}

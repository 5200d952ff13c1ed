#pragma once

#include "relay_state_type.h"

#include <optional>

namespace hickory {

/// @return requests a second that a cold upstream of a service takes from all entries together, 0 if upstreams of the
/// service are never cold
double coldRate(const RelayService& service);

/// @return requests a second that an upstream takes from all entries together at a moment, or nothing once it is warm
std::optional<double> coldRateAt(const RelayService& service, const ColdStart& cold, Milliseconds at);

/// Divides a limit among entries such that each of those that share it sends a whole number of requests in any second.
/// The second with most requests then has `requestsPerSecond` + 1 or fewer, whenever each of them sends.
/// @param requestsPerSecond above 0
/// @param bearable requests in any one second that must not be exceeded, at least requestsPerSecond
/// @param entryCount entries, at least 1
/// @param entriesBefore entries that get a share before this one
SharedLimit shareColdLimit(
    double requestsPerSecond, double bearable, std::uint32_t entryCount, std::uint32_t entriesBefore);

/// @return the limit of an upstream at a moment, or nothing if it is warm then
std::optional<SharedLimit> coldLimit(const RelayState& state, const RelayUpstream& view, Milliseconds at);

/// @return whether the limit of a cold upstream forbids this entry to send it a request now
bool isHeldByCold(const RelayState& state, const RelayUpstream& view, Milliseconds now);

/// @return whether an upstream of a service is held back by its cold limit
bool anyHeldByCold(const RelayState& state, const ServiceId& service, Milliseconds now);

/// @return the service of an upstream in the configuration in force, or nullptr if it has no cold starts
const RelayService* coldServiceOf(const RelayState& state, const ServiceId& service);

/// @param upstream loadKey() of its id
/// @return other entries that share an upstream's limit before this one. Where an entry joins or leaves, at most one
/// other entry gains or loses its share.
std::uint32_t countEntriesBefore(const RelayState& state, std::uint64_t upstream);

/// @return for the log
const char* coldCauseName(ColdCause cause);

} // namespace hickory

#pragma once

#include "entry_effect_type.h"
#include "entry_state_type.h"

#include <cstddef>
#include <cstdint>

namespace hickory {

/// Entries that need a service's demand: the first proposer and the one that stands in.
constexpr std::size_t demandReceivers = 2;

/// Number of status queries for placement; control_cmd ignores answers to it.
constexpr std::uint64_t placementQuery = ~0ULL;

/// @return this entry's position in the order of proposers of a service, 0 for the proposer
std::size_t proposerPosition(const EntryState& state, const ServiceId& service);

/// Sends demand to the proposers, asks other entries for the status of their home agents where this entry proposes,
/// and decides growth.
void tickDemand(EntryState& state, EntryEffects& effects);

} // namespace hickory

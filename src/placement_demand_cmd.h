#pragma once

#include "entry_effect_type.h"
#include "entry_state_type.h"

#include <cstddef>
#include <cstdint>

namespace hickory {

/// Number of entries that receive a service's demand: its proposer and the first backup.
constexpr std::size_t demandReceivers = 2;

/// Query number of status queries made for placement. No operator's Status call has this number, so the answers only
/// update the hosts of PlacementState.
constexpr std::uint64_t placementQuery = ~0ULL;

/// @return this entry's position in a service's rendezvous order of proposers: 0 for the proposer, 1 for the first
/// backup
std::size_t proposerPosition(const EntryState& state, const ServiceId& service);

/// Does what is due: sends local demand to the proposers and their first backups, and, where this entry is one of
/// these, queries the other entries for the status of their home agents and decides how many replicas each service
/// needs.
/// @pre a configuration is in force
void tickDemand(EntryState& state, EntryEffects& effects);

} // namespace hickory

#pragma once

#include "clock_type.h"
#include "placement_row_type.h"
#include "weights_state_type.h"

#include <string>

namespace hickory {

/// Begins a rollout. Holders of the one before stay counted until they release or expire.
/// @param before row in force, default when absent
/// @param served model that the beginner serves, used when the row tells of none
PermitRow beginRollout(
    const PermitRow& before, Generation generation, const ModelConfig& model, const std::optional<ModelConfig>& served);

/// Why a host may not be taken out of service now.
/// @param row row in force that tracks `model`, or is stopped with `model` as its previous
/// @return short reason, empty when it may
std::string permitRefusal(const PermitRow& row, const ModelConfig& model, const HostId& host, std::uint32_t maxOut);

/// Adds a holder, or renews it.
void addHolder(PermitRow& row, const PermitHolder& holder);

/// Removes a host from the holders.
void removeHolder(PermitRow& row, const HostId& host);

/// Counts a host that serves the row's model and gives its permit back. The first wave has passed when its last host
/// is done.
/// @param held the host held a permit
void finishHost(PermitRow& row, const HostId& host, bool held, std::uint32_t maxOut);

/// Counts a host that could not load the row's model, or that fails more requests with it. One such host stops a
/// rollout in its first wave, later max_out of them do.
void failHost(PermitRow& row, const HostId& host, const std::string& reason, std::uint32_t maxOut);

/// Takes over a row as read.
/// @param now of this process; a holder's time runs from when its renewal number was first seen here, so that no two
/// hosts need the same clock
void adoptPermitRow(PermitView& view, RowVersion version, PermitRow row, Milliseconds now);

/// Removes holders whose renewal number stood still for the life of a permit.
/// @return hosts removed
std::vector<HostId> removeExpired(PermitRow& row, const PermitView& view, Milliseconds now);

/// Life of a permit without renewal.
constexpr Milliseconds permitLife { 60000 };

} // namespace hickory

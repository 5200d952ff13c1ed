#pragma once

#include "clock_type.h"
#include "placement_row_type.h"
#include "weights_state_type.h"

#include <string>

namespace hickory {

/// Creates the row of a new rollout. Holders of the previous rollout keep their permits until they release them or
/// expire, so that max_out holds across rollouts.
/// @param before current row, default when absent
/// @param served model that this host serves; becomes the row's previous model when `before` names none
PermitRow beginRollout(
    const PermitRow& before, Generation generation, const ModelConfig& model, const std::optional<ModelConfig>& served);

/// Checks whether a host may take a permit now.
/// @param row current row, which rolls out `model` or is stopped and has `model` as its previous model
/// @param maxUnavailable configured max_out of the service
/// @return why it may not: "max-out", "stopped" or "first-wave"; empty when it may
std::string permitRefusal(
    const PermitRow& row, const ModelConfig& model, const HostId& host, std::uint32_t maxUnavailable);

/// Adds a holder, or replaces its entry by the renewed one.
void addHolder(PermitRow& row, const PermitHolder& holder);

/// Removes a host from the holders.
void removeHolder(PermitRow& row, const HostId& host);

/// Records a host as done and removes it from the holders. The first wave, which is the first hosts (at most max_out)
/// that take a permit, has passed once no holder is left or max_out hosts are done.
/// @param held the host held a permit; without one it does not end the first wave
void finishHost(PermitRow& row, const HostId& host, bool held, std::uint32_t maxUnavailable);

/// Records a host as failed, because it could not load the row's model or fails too many requests with it. In the first
/// wave one failed host stops the rollout, later max_out of them do.
void failHost(PermitRow& row, const HostId& host, const std::string& reason, std::uint32_t maxUnavailable);

/// Adopts a row as read or written.
/// @param now time of the event being reduced; a holder's lifetime counts from when its renewal was first seen by this
/// process, so that clocks need not agree between hosts
void adoptPermitRow(PermitView& view, RowVersion version, PermitRow row, Milliseconds now);

/// Removes holders whose renewal has not changed for permitLifetime.
/// @return hosts that were removed
std::vector<HostId> removeExpired(PermitRow& row, const PermitView& view, Milliseconds now);

/// Time after which a permit expires unless it is renewed.
constexpr Milliseconds permitLifetime { 60000 };

} // namespace hickory

#pragma once

#include "stage_state_type.h"

namespace hickory {

/// Chooses where a piece is fetched. While no engine holds the version, each piece comes from the origin to one host,
/// from there to one host of each other place, and from that to the rest of the place, so that the origin sends about
/// one copy and each link between places carries about one. With each failure the duties for the piece pass on to
/// other hosts, so that a lost host delays a piece and does not stop it.
/// @param failures sources that did not give the piece so far
/// @param demand who waits for the piece here: hosts may disagree for a moment on who fetches it, then the one that is
/// asked does
/// @return the source; the origin when this host fetches for all
StageSource chooseSource(
    const StageState& state, WeightsVersion version, std::uint32_t piece, std::uint32_t failures, PieceDemand demand);

/// @return whether a source is used on behalf of other hosts, too: the origin, or a host of another place
bool isShared(const StageState& state, const StageSource& source);

} // namespace hickory

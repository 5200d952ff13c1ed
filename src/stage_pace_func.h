#pragma once

#include "stage_state_type.h"

namespace hickory {

/// Decides whether the loads of a version are spread over the whole time that its bound leaves, or over a fixed part of
/// the bound (loadOrderDelay()). The former needs a bound that is long compared with the time in which pieces arrive;
/// otherwise it would bring the loads closer together.
/// @return whether what remains of the bound after the origin has sent a copy, hosts have exchanged it, and before the
/// last engine must begin, is at least as long as the fixed spread; false while the manifest or the origin's link is
/// not known. Once the manifest is known, the answer for a job stays as it was then.
bool isPaced(const StageState& state, const StageJob& job);

/// Keeps the origin's link to one version at a time: with two, the pieces of the first arrive later, and requests that
/// wait there for longer than originRound are sent again by other hosts.
/// @param job version whose pieces are to be requested
/// @return moment from which the origin has sent its copy of a paced version that is being brought into service before
/// this one; 0 when there is none
Milliseconds originFreeAt(const StageState& state, const StageJob& job);

/// @return latest moment at which preparing a load may begin: its engine then holds the weights before entries stop
/// using older ones, also if it has to drain for the longest time
Milliseconds safeLoadEnd(const StageState& state, const StageJob& job);

/// Computes when this host loads a version. The hosts of each data centre are spread evenly over the time from `now`
/// to safeLoadEnd(): each counts from the moment at which its own pieces are there, so that hosts which have them early
/// begin early, and the schedule compresses for those that get them late.
/// @param now moment at which all pieces are staged
/// @return the turn; not before `now`, and equal to it once safeLoadEnd() has passed
LoadTurn makeLoadTurn(const StageState& state, const StageJob& job, Milliseconds now);

/// @return whether this host's engine is idle, as last reported, and may load before its turn. Hosts of a data centre
/// come to this in rotation, so that only a few of them do at the same time.
bool mayLoadWhileIdle(const StageState& state, const StageJob& job, Milliseconds now);

/// @return whether the second version can be in service by the bound of the first one if the first is not loaded, and
/// few enough of its pieces are missing
/// @pre there are two jobs, and the first is paced
bool maySkipFirst(const StageState& state, Milliseconds now);

/// Makes a job responsible for the bound of an older version that this host will not load: a request that begins on the
/// newer version satisfies the bound of the older one as well.
/// @param skipped job of the older version
void inheritBound(StageJob& job, const StageJob& skipped);

/// @return moment from which the bound of a job counts, with that of a version whose order is not confirmed
Milliseconds boundBegin(const StageJob& job);

/// Makes a job responsible for the bound of an older version whose load was ordered, until the engine reports that it
/// holds it: an order that was not answered, or failed, leaves the engine unusable from the end of that bound.
/// @param first job of the older version
void inheritBoundUntilHeld(StageJob& job, const StageJob& first);

/// Ends inheritBoundUntilHeld(): the engine reported that it holds the older version.
/// @pre job.ordered has a value
void confirmOrdered(StageJob& job);

} // namespace hickory

#pragma once

#include "learned_limit_type.h"

#include <cstdint>
#include <vector>

namespace hickory {

/// Notes that the load changed, or is as before.
/// @return load summed up to now
double advanceLoad(LoadIntegral& integral, double load, Milliseconds now);

/// Notes the load of an upstream.
/// @param own requests in flight from this entry
/// @param others those of the other entries, as last reported
/// @return load summed up to now
double noteLoad(LearnedUpstream& upstream, std::uint32_t own, std::uint32_t others, Milliseconds now);
/// @return load to decide on: own requests, and the mean of the others'. All entries learn of each other's requests at
/// the same moments, and if each used the newest figure they would all send and all hold back together.
std::uint32_t steadyLoad(const LearnedUpstream& upstream, std::uint32_t own);

/// Adds what one request observed.
void recordService(LearnedLimit& learned, const ServiceSample& sample);

/// @return estimate of several entries together. The knee is the mean by weight, where weights fade with age. The level
/// is the median, since that of an entry behind a slow link is of no use to others; the own one counts several times,
/// since the way to the upstream is part of it.
LearnedEstimate mergeEstimates(
    const LearnedEstimate& own, const std::vector<LearnedEstimate>& others, Milliseconds now);

/// @param estimate own, or merged with those of others
/// @param slots of the upstream
/// @return requests in flight that the upstream handles well: from a floor above 0 up to `slots`
std::uint32_t limitOf(const LearnedEstimate& estimate, std::uint32_t slots);
/// The same from own samples only, or the limit that is being tried.
std::uint32_t limitOf(const LearnedLimit& learned, std::uint32_t slots, Milliseconds now);

/// @return stated slowdown as it counts at a time: it fades to 1 with age
double slowdownAt(const LearnedLimit& learned, Milliseconds now);

/// @param load requests in flight, the new one included
/// @param usual level that a fresh estimate of the service's best upstream has; counts where this one is old or unknown
/// @param retryDelay how much longer than others this entry trusts an old estimate
/// @return expected service time at a load, in the unit of ServiceSample::time
double expectedService(const LearnedEstimate& estimate, std::uint32_t slots, double load, double usual,
    Milliseconds retryDelay, Milliseconds now);

/// Keeps the newest estimate of a peer, and merges.
void recordPeerEstimate(LearnedUpstream& upstream, const PeerEstimate& told, Milliseconds now);
/// Computes the merged estimate. The own one goes on from the merged knee.
void updateMerged(LearnedUpstream& upstream, Milliseconds now);
/// @return limit of what all entries have learned; or another one that this entry tries
std::uint32_t limitOf(const LearnedUpstream& upstream, std::uint32_t slots, Milliseconds now);
/// @param load requests in flight, the new one included
/// @param usual as in expectedService()
/// @return expected service time at the slowdown that the upstream stated
double expectedService(const LearnedUpstream& upstream, std::uint32_t slots, double load, double usual,
    Milliseconds retryDelay, Milliseconds now);

/// @return least level of the upstreams of a service with samples that count, 0 if there is none
double usualLevel(const std::vector<LearnedEstimate>& estimates, Milliseconds now);

/// @param last estimate as last told
/// @param toldAt when it was told
/// @return how much an estimate should be told again, 0 if not at all
double newsValue(const LearnedEstimate& estimate, const LearnedEstimate& last, Milliseconds toldAt, Milliseconds now);

} // namespace hickory

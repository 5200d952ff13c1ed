#pragma once

#include "relay_state_type.h"

#include <optional>

namespace hickory {

/// Requests running and queued at an upstream.
struct EngineLoad {
    std::uint32_t requests { 0 }; ///< in slots and in its queue
    std::uint32_t prefillTokens { 0 }; ///< prompt tokens that are processed before those of a new request
    double slowdown { 1.0 }; ///< above 1 when it is slower than its profile
};

/// Predicts the time to the first token of a request at an engine: half a pass, the prompts before it, its own prompt,
/// and the wait for a slot when all are taken. The number of requests alone predicts poorly, because the time depends
/// on the lengths of the prompts, which vary widely.
/// @param load of the engine without the request
/// @param promptTokens prompt tokens of the request
/// @return ms
double predictFirstToken(const EngineProfile& profile, const EngineLoad& load, std::uint32_t promptTokens);

/// Predicts how long a request occupies a slot of an engine whose slots are all taken.
/// @return ms
double predictSlotOccupancy(const EngineProfile& profile);

/// @return the weights of a model, if an engine holds all of its layers, or nullptr
const HeldModel* heldModel(const RelayUpstream& view, const ModelId& model);

/// @return whether the agent on an upstream's host told lately that the upstream answered it. An entry of many has one
/// request or none at an upstream at a time, so it may hear nothing of one that is sound.
bool reportedLately(const RelayUpstream& view, Milliseconds now);

/// @return whether an upstream has requests of this entry in flight and sent nothing for longer than they explain
bool isStalled(const RelayUpstream& view, bool engine, Milliseconds now);

/// @param tokensPerMs prompt tokens that the engine is expected to have read in each ms since others reported theirs; 0
/// to count them as reported
/// @return requests of all entries in flight at an upstream, as far as this entry knows
EngineLoad upstreamLoad(const RelayState& state, const RelayUpstream& view, Milliseconds now, double tokensPerMs = 0);

/// Limits the load of an upstream by rank, so that a flood of requests of other ranks leaves some slots of an engine
/// free for rank 0: a request of that rank that waits for a slot misses its objective.
/// @param slots of the upstream
/// @param rank of the request's route; rank 0 may have one request more than slots, which waits at an engine
/// @param engine whether the upstream is an engine; a plain one may use all its slots for any rank
/// @return number of requests in flight at the upstream below which the request may be sent
std::uint32_t requestLimit(std::uint32_t slots, std::uint8_t rank, bool engine);

/// Chooses the best upstream for a request, under the route policy, among those that may run it and have room.
/// @param mustHaveRoom false to return any upstream that may run it, with or without room
/// @return the upstream, or nothing
std::optional<UpstreamId> chooseUpstream(
    const RelayState& state, const RelayRequest& request, Milliseconds now, bool mustHaveRoom);

/// @return time until one of the upstreams that may run a request takes requests of this entry; 0 if one does now, or
/// if there is none
Milliseconds pauseLeft(const RelayState& state, const RelayRequest& request, Milliseconds now);

} // namespace hickory

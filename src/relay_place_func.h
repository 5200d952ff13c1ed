#pragma once

#include "relay_state_type.h"

#include <optional>

namespace hickory {

/// What runs and waits at an engine.
struct EngineLoad {
    std::uint32_t requests { 0 }; ///< in slots and in its queue
    std::uint32_t prefillTokens { 0 }; ///< prompt tokens that must be read before ours
    double slowdown { 1.0 }; ///< above 1 when it works slower than its profile
};

/// Predicts the time to the first token of a request at an engine: half a pass, the prompts before it, its own
/// prompt, and a slot to become free when all are taken.
/// Answers load in which engines are nearly full and long prompts arrive in clumps.
/// @param profile speed of the engine
/// @param load what is there now
/// @param promptTokens of the request
/// @return ms
double predictFirstToken(const EngineProfile& profile, const EngineLoad& load, std::uint32_t promptTokens);

/// Predicts how long an answer occupies a slot at an engine whose slots are taken.
/// @return ms
double predictSlotOccupancy(const EngineProfile& profile);

/// @return the weights of a model that an engine holds whole, or nullptr
const HeldModel* heldModel(const RelayUpstream& view, const ModelId& model);

/// @return what all entries have under way at an upstream, by what is known now
EngineLoad upstreamLoad(const RelayState& state, const RelayUpstream& view, Milliseconds now);

/// How full an upstream may get for a request: the first rank finds a free slot where the others leave some.
/// Answers floods: an urgent request that waits for a slot of a full engine misses its objective.
/// @param slots of the upstream
/// @param rank of the request
/// @param engine whether the upstream orders its queue by urgency
/// @return most requests that may be under way before this one
std::uint32_t requestLimit(std::uint32_t slots, std::uint8_t rank, bool engine);

/// Chooses the upstream that answers a request first among those that may run it and have room.
/// @param mustHaveRoom false to learn whether any upstream could run it at all
/// @return the upstream, or nothing
std::optional<UpstreamId> chooseUpstream(
    const RelayState& state, const RelayRequest& request, Milliseconds now, bool mustHaveRoom);

} // namespace hickory

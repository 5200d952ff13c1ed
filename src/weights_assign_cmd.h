#pragma once

#include "agent_effect_type.h"
#include "agent_state_type.h"

namespace hickory {

/// Applies a new configuration: forgets the rows of removed services and reads all placement rows.
/// @pre state.config.config is set
void applyConfigToPlacements(AgentState& state, AgentEffects& effects);

/// Reads one placement row when a read is due. The interval grows with the number of hosts, which bounds the rate of
/// reads by the whole fleet.
void tickPlacementReads(AgentState& state, AgentEffects& effects);

/// Stores a placement row that was read.
void applyPlacementAnswer(AgentState& state, const StoreAnswer& answer, AgentEffects& effects);

/// Recomputes WeightsState::wanted from the placement rows, the configuration and the permit rows.
void updateWanted(AgentState& state, AgentEffects& effects);

/// @return the placement row of the wanted service, or nullptr when no service is wanted or its row was dropped
const PlacementRow* wantedPlacement(const AgentState& state);

/// @param weightsDigest BLAKE2b-256 of all weight bytes, hex
/// @return the engine target for a wanted model
EngineTarget engineTarget(const WantedModel& wanted, const std::string& weightsDigest);

/// @return true when an engine with this target runs the wanted model for the wanted service
bool runsWanted(const EngineTarget& target, const WantedModel& wanted);

} // namespace hickory

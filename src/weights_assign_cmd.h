#pragma once

#include "agent_effect_type.h"
#include "agent_state_type.h"

namespace hickory {

/// Forgets rows of services that the configuration no longer has, and reads every row again.
/// @pre state.config.config is set
void adoptConfigForPlacement(AgentState& state, AgentEffects& effects);

/// Reads one row when it is time. The interval grows with the number of hosts, so that the reads of the whole fleet
/// stay under a fixed rate.
void tickPlacementReads(AgentState& state, AgentEffects& effects);

/// Takes over a placement row.
void applyPlacementAnswer(AgentState& state, const StoreAnswer& answer, AgentEffects& effects);

/// Works out what this host shall serve by the rows, the text and a stopped rollout.
void updateWanted(AgentState& state, AgentEffects& effects);

/// @return the placement row of what this host shall serve, or nullptr
const PlacementRow* wantedRow(const AgentState& state);

/// @return the engine target that corresponds to a wanted model
EngineTarget engineTarget(const WantedModel& wanted, const std::string& weightsDigest);

/// @return true when a target runs what is wanted
bool runsWanted(const EngineTarget& target, const WantedModel& wanted);

} // namespace hickory

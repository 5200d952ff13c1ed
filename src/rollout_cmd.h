#pragma once

#include "agent_effect_type.h"
#include "agent_state_type.h"

namespace hickory {

/// Does what is due in the rollout of the wanted model: reads permit rows, takes, renews or releases this host's
/// permit, and records this host as done or failed.
/// @pre a configuration is in force
void tickRollout(AgentState& state, AgentEffects& effects);

/// Handles store answers with purpose Permit.
/// @pre a configuration is in force
void applyPermitAnswer(AgentState& state, const StoreAnswer& answer, AgentEffects& effects);

/// Decides whether the engine may be told to load the wanted model now.
/// @pre state.weights.wanted is set and its weights are complete
/// @return why it may, for the log: "permit" or "serves-nothing"; empty when it may not
std::string loadReason(const AgentState& state);

/// @return the model of an engine target in the form of the configuration
ModelConfig targetModel(const EngineTarget& target);

} // namespace hickory

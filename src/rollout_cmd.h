#pragma once

#include "agent_effect_type.h"
#include "agent_state_type.h"

namespace hickory {

/// Reads permit rows, takes, renews and gives back this host's permit, reports it as done or failed.
void tickRollout(AgentState& state, AgentEffects& effects);

/// Handles answers with purpose Permit.
void applyPermitAnswer(AgentState& state, const StoreAnswer& answer, AgentEffects& effects);

/// Says whether the engine may be given the wanted model now.
/// @pre state.weights.wanted is set and its weights are whole
/// @return reason for the log, empty when it may not
std::string loadReason(const AgentState& state);

/// @return the model of a target as the text has it
ModelConfig targetModel(const EngineTarget& target);

} // namespace hickory

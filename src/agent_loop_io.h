#pragma once

#include "agent_effect_type.h"
#include "agent_event_type.h"
#include "settings_type.h"

#include <memory>

namespace hickory {

/// hickory-agent without a [loader] table in its settings: receives requests from entries by RPC and passes them to the
/// upstream on this host. LoaderLoop is the other mode. Passes events to reduce() on one thread and carries out the
/// effects.
class AgentLoop {
public:
    explicit AgentLoop(AgentSettings settings);
    ~AgentLoop();
    AgentLoop(const AgentLoop&) = delete;
    AgentLoop& operator=(const AgentLoop&) = delete;

    /// Serves until a graceful shutdown is complete.
    /// @return exit code of the process
    int run();

private:
    struct State;
    std::unique_ptr<State> state; ///< reducer, I/O modules and event loop
};

} // namespace hickory

#pragma once

#include "entry_effect_type.h"
#include "entry_event_type.h"
#include "settings_type.h"

#include <memory>

namespace hickory {

/// hickory-entry without a [relay] table in its settings: dispatches requests to agents by RPC. RelayLoop is the other
/// mode. Passes events to reduce() on one thread and carries out the effects.
class EntryLoop {
public:
    explicit EntryLoop(EntrySettings settings);
    ~EntryLoop();
    EntryLoop(const EntryLoop&) = delete;
    EntryLoop& operator=(const EntryLoop&) = delete;

    /// Serves until a graceful shutdown is complete.
    /// @return exit code of the process
    int run();

private:
    struct State;
    std::unique_ptr<State> state; ///< reducer, I/O modules and event loop
};

} // namespace hickory

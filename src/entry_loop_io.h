#pragma once

#include "entry_effect_type.h"
#include "entry_event_type.h"
#include "settings_type.h"

#include <memory>

namespace hickory {

/// Runs an entry: feeds events to the reducer on one thread and carries out its effects.
class EntryLoop {
public:
    explicit EntryLoop(EntrySettings settings);
    ~EntryLoop();
    EntryLoop(const EntryLoop&) = delete;
    EntryLoop& operator=(const EntryLoop&) = delete;

    /// Serves until a planned stop is complete.
    /// @return exit code
    int run();

private:
    struct State;
    std::unique_ptr<State> state; ///< reducer, I/O modules and event loop
};

} // namespace hickory

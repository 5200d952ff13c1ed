#pragma once

#include "config_type.h"

#include <memory>

namespace hickory {

/// The active configuration of a process. Its generation never decreases.
struct ConfigState {
    ConfigRecord record; ///< active configuration, generation 0 until one is received
    std::shared_ptr<const Config> config; ///< parsed record, null until one is received
    Generation rejected; ///< last generation that could not be parsed here; it is not tried or logged again
};

} // namespace hickory

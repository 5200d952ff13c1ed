#pragma once

#include "config_type.h"

#include <memory>

namespace hickory {

/// Configuration in force at a process. The generation never falls.
struct ConfigState {
    ConfigRecord record; ///< newest accepted configuration seen, generation 0 before the first
    std::shared_ptr<const Config> config; ///< parsed record, null before the first
    Generation refused; ///< newest generation that could not be parsed here, so that it is logged once
};

} // namespace hickory

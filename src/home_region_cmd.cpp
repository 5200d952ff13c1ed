#include "home_region_cmd.h"

#include "home_region_func.h"

namespace hickory {

void updateAllowedRegions(RelayState& state)
{
    const bool hadHomes = state.hasHomes;
    state.hasHomes = hasHomes(*state.config);
    if (!hadHomes && !state.hasHomes)
        return;
    for (auto& [call, request] : state.requests) {
        request.allowed = allowedRegions(request, state.config.get());
        state.hasHomes = state.hasHomes || request.allowed;
    }
}

} // namespace hickory

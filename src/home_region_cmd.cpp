#include "home_region_cmd.h"

#include "begun_request_func.h"
#include "home_region_func.h"

#include <utility>

namespace hickory {

void updateAllowedRegions(RelayState& state)
{
    const bool hadHomes = state.homesInUse;
    state.homesInUse = hasHomes(*state.config);
    if (!hadHomes && !state.homesInUse)
        return;
    for (auto& [service, view] : state.services)
        view.queuedByRegions.clear();
    for (auto& [call, request] : state.requests) {
        request.allowed = allowedRegions(request, state.config.get());
        state.homesInUse = state.homesInUse || request.allowed;
        if (request.queued)
            ++state.services[request.service].queuedByRegions[request.allowed];
    }
}

void refuseShutOut(RelayState& state, Milliseconds now, RelayEffects& effects)
{
    constexpr std::uint16_t statusBadGateway = 502;
    constexpr std::uint16_t statusUnavailable = 503;
    if (!state.homesInUse && state.evacuated.empty())
        return;
    std::map<std::pair<ServiceId, AllowedRegions>, ShutOut> causes;
    std::vector<std::pair<CallId, const char*>> refused;
    for (const auto& [call, request] : state.requests) {
        if (!request.queued || request.active || !mayEnd(request, EndCause::Configuration))
            continue;
        const auto [known, isNew] = causes.try_emplace({ request.service, request.allowed }, ShutOut::None);
        if (isNew)
            known->second = shutOutCause(state, request.service, request.allowed);
        if (const char* reason = shutOutReason(known->second))
            refused.emplace_back(call, reason);
    }
    for (const auto& [call, reason] : refused) {
        RelayRequest& request = state.requests.at(call);
        refuseRequest(state, request, request.mayHaveRun ? statusBadGateway : statusUnavailable, reason, now, effects);
    }
}

} // namespace hickory

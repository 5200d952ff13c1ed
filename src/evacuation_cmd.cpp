#include "evacuation_cmd.h"

#include "begun_request_func.h"
#include "cold_start_cmd.h"
#include "home_region_cmd.h"
#include "relay_admit_func.h"
#include "relay_budget_func.h"
#include "relay_place_func.h"

#include <algorithm>

namespace hickory {

namespace {

    /// @return whether operators may have mistyped a data centre: neither the settings nor the list name it
    bool isKnown(const RelayState& state, const DataCentreId& dataCentre)
    {
        return state.options.regions.contains(dataCentre)
            || std::any_of(state.upstreams.begin(), state.upstreams.end(),
                [&](const auto& item) { return item.second.entry.dataCentre == dataCentre; });
    }

    LogLine evacuationLogLine(const RelayState& state, const char* event, const DataCentreId& dataCentre)
    {
        std::uint32_t upstreams = 0;
        std::uint32_t sent = 0;
        std::uint32_t unbegun = 0;
        for (const auto& [id, view] : state.upstreams) {
            if (view.entry.dataCentre != dataCentre)
                continue;
            upstreams += view.listed ? 1 : 0;
            sent += view.sent;
            unbegun += view.unbegun;
        }
        return { .level = LogLevel::Warning,
            .event = event,
            .fields = { { "place", dataCentre.value }, { "known", isKnown(state, dataCentre) ? "true" : "false" },
                { "upstreams", std::to_string(upstreams) }, { "in_flight", std::to_string(sent) },
                { "unbegun", std::to_string(unbegun) } } };
    }

    /// @return when the upstream of a send was evacuated, or nothing if it is not, or has begun the send as far as is
    /// known
    std::optional<Milliseconds> unbegunInEvacuated(
        const RelayState& state, const RelayRequest& request, const std::optional<ActiveSend>& send)
    {
        const auto view
            = send && mayTakeBack(request, *send) ? state.upstreams.find(send->upstream) : state.upstreams.end();
        if (view == state.upstreams.end())
            return std::nullopt;
        const auto since = state.evacuatedSince.find(view->second.entry.dataCentre);
        return since == state.evacuatedSince.end() ? std::nullopt : std::optional(since->second);
    }

    /// Takes a request back from an evacuated data centre, if it may be repeated and either another upstream can begin
    /// it at once or half of the time is up in which the data centre must have got the last request.
    /// @param since when this entry learned of the evacuation
    void leave(RelayState& state, RelayRequest& request, Milliseconds since, Milliseconds now, RelayEffects& effects)
    {
        constexpr const char* reason = "evacuated";
        if (request.backup) {
            // The other upstream goes on with it.
            releaseSend(state, request, true, effects);
            retryElsewhere(state, request, SendFailure::TakenBack, reason, now, effects);
            return;
        }
        // If nothing else may run it, it would be refused, although the upstream there still serves it.
        if (!request.headForwarded && !chooseUpstream(state, request, now, false)
            && !mayAwaitWeights(state, request, now))
            return;
        // Without a place in the retry budget it would be refused, and there it may still be served.
        if (!isRepeatable(request) || !hasAttemptLeft(request)
            || !mayRetry(state.services[request.service].retries, state.options, state.entryCount, now))
            return;
        const bool isDue = now - since >= Milliseconds { state.options.maxEvacuationDelay.value / 2 };
        if (!isDue && !chooseBeside(state, request, now))
            return;
        releaseSend(state, request, true, effects);
        retryElsewhere(state, request, SendFailure::TakenBack, reason, now, effects);
    }

} // namespace

void leaveEvacuated(RelayState& state, Milliseconds now, RelayEffects& effects)
{
    if (state.evacuated.empty())
        return;
    std::vector<const RelayRequest*> unbegun;
    for (auto& [call, request] : state.requests) {
        if (unbegunInEvacuated(state, request, request.backup))
            releaseBackup(state, request, true, effects);
        if (unbegunInEvacuated(state, request, request.active))
            unbegun.push_back(&request);
    }
    // The others have less room than all had: the urgent go first.
    std::sort(unbegun.begin(), unbegun.end(), [](const RelayRequest* left, const RelayRequest* right) {
        return std::tie(left->urgency, left->leavesAt, left->call)
            < std::tie(right->urgency, right->leavesAt, right->call);
    });
    std::vector<CallId> calls;
    std::transform(unbegun.begin(), unbegun.end(), std::back_inserter(calls),
        [](const RelayRequest* request) { return request->call; });
    for (const CallId call : calls) {
        const auto found = state.requests.find(call);
        if (found == state.requests.end())
            continue;
        if (const auto since = unbegunInEvacuated(state, found->second, found->second.active))
            leave(state, found->second, *since, now, effects);
    }
}

void applyEvacuations(RelayState& state, const EvacuationsUpdated& event, Milliseconds now, RelayEffects& effects)
{
    for (const DataCentreId& dataCentre : event.dataCentres)
        if (state.evacuatedSince.try_emplace(dataCentre, now).second)
            effects.emplace_back(evacuationLogLine(state, "evacuation-begins", dataCentre));
    std::erase_if(state.evacuatedSince, [&](const auto& item) {
        if (event.dataCentres.contains(item.first))
            return false;
        LogLine line = evacuationLogLine(state, "evacuation-ends", item.first);
        line.fields.emplace_back("after_ms", std::to_string((now - item.second).value));
        effects.emplace_back(std::move(line));
        return true;
    });
    // Its engines may have become cold just before it was evacuated.
    for (const DataCentreId& dataCentre : state.evacuated)
        if (!event.dataCentres.contains(dataCentre))
            assumeDataCentreCold(state, dataCentre, now, effects);
    state.evacuated = event.dataCentres;
    effects.emplace_back(MetricSample { .kind = MetricSample::Kind::Gauge,
        .name = "evacuated_data_centres",
        .labels = {},
        .value = static_cast<double>(state.evacuated.size()) });
    refuseShutOut(state, now, effects);
    leaveEvacuated(state, now, effects);
    dispatchAllWaiting(state, now, effects);
}

} // namespace hickory

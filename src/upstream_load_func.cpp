#include "upstream_load_func.h"

#include "table/upstream_load_limits.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace hickory {

namespace {

    /// A slowdown and when it was stated or read.
    struct KnownSlowdown {
        double slowdown { 1.0 }; ///< as stated
        Milliseconds at; ///< when an answer stated it, or the agent read it
    };

    std::optional<KnownSlowdown> newestSlowdown(const RelayUpstream& view)
    {
        std::optional<KnownSlowdown> newest;
        if (view.statedLoad && view.statedLoad->slowdown)
            newest = { .slowdown = *view.statedLoad->slowdown, .at = view.statedLoadAt };
        if (view.report && (!newest || view.reportedAt > newest->at))
            newest = { .slowdown = view.report->slowdown, .at = view.reportedAt };
        return newest;
    }

} // namespace

void recordStatedLoad(RelayState& state, RelayUpstream& view, const std::optional<StatedLoad>& load, Milliseconds now)
{
    if (!load)
        return;
    view.statedLoad = load;
    view.statedLoadAt = now;
    const std::uint32_t stated = load->running + load->waiting;
    view.statedByOthers = stated - std::min(stated, view.sent);
    if (load->slowdown)
        state.services[view.entry.service].slowdownStatedAt = now;
}

bool statesSlowdown(const RelayState& state, const ServiceId& service, Milliseconds now)
{
    const auto found = state.services.find(service);
    return found != state.services.end() && now - found->second.slowdownStatedAt <= slowdownStatedMaxAge;
}

bool anyStatesSlowdown(const RelayState& state, Milliseconds now)
{
    return std::any_of(state.services.begin(), state.services.end(),
        [&](const auto& item) { return now - item.second.slowdownStatedAt <= slowdownStatedMaxAge; });
}

double expectedSlowdown(const RelayUpstream& view, Milliseconds now)
{
    const std::optional<KnownSlowdown> newest = newestSlowdown(view);
    if (!newest)
        return 1.0;
    const double age = static_cast<double>((now - newest->at).value) / static_cast<double>(slowdownDecay.value);
    return 1.0 + std::max(newest->slowdown - 1.0, 0.0) * std::clamp(1.0 - age, 0.0, 1.0);
}

std::optional<Milliseconds> slowdownAge(const RelayUpstream& view, Milliseconds now)
{
    const std::optional<KnownSlowdown> newest = newestSlowdown(view);
    return newest ? std::optional(now - newest->at) : std::nullopt;
}

std::uint32_t statedByOthers(const RelayUpstream& view, Milliseconds now)
{
    return view.statedLoad && now - view.statedLoadAt <= statedLoadMaxAge ? view.statedByOthers : 0;
}

std::uint32_t unreadAfter(std::uint32_t tokens, double tokensPerMs, Milliseconds age)
{
    const double read = tokensPerMs * static_cast<double>(std::max(age, Milliseconds {}).value);
    return static_cast<std::uint32_t>(std::max(tokens - read, 0.0));
}

double ringDistance(std::uint32_t entryPosition, std::size_t index, std::size_t count)
{
    // Multiples of the golden ratio spread any consecutive positions evenly, however many entries there are.
    constexpr double goldenRatio = 0.6180339887498949;
    const double own = std::fmod(entryPosition * goldenRatio, 1.0);
    const double point = (static_cast<double>(index) + 0.5) / static_cast<double>(std::max<std::size_t>(count, 1));
    const double distance = std::abs(own - point);
    return 2 * std::min(distance, 1 - distance);
}

void recordRingPosition(RingPosition& position, std::uint32_t counted, Milliseconds now)
{
    if (!position.firstAt)
        position.firstAt = now;
    if (position.counted != counted) {
        position.counted = counted;
        position.changedAt = now;
    }
    if (now - *position.firstAt < ringPositionHold || now - position.changedAt >= ringPositionHold)
        position.position = counted;
}

void numberUpstreams(RelayState& state)
{
    std::map<ServiceId, std::uint32_t> counts;
    for (auto& [id, view] : state.upstreams)
        if (view.listed && view.entry.dataCentre == state.options.dataCentre)
            view.ringIndex = counts[view.entry.service]++;
    for (auto& [id, view] : state.upstreams) {
        const auto found = counts.find(view.entry.service);
        view.ringCount = found != counts.end() ? found->second : 0;
    }
}

} // namespace hickory

#include "cold_start_func.h"

#include "digest_func.h"
#include "table/cold_start_limits.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace hickory {

namespace {

    /// @return well distributed bits of two hashes; far cheaper than a digest for each pair of entry and upstream
    std::uint64_t mix(std::uint64_t entry, std::uint64_t upstream)
    {
        // Finaliser of SplitMix64.
        std::uint64_t bits = entry ^ (upstream * 0x9e3779b97f4a7c15U);
        bits = (bits ^ (bits >> 30U)) * 0xbf58476d1ce4e5b9U;
        bits = (bits ^ (bits >> 27U)) * 0x94d049bb133111ebU;
        return bits ^ (bits >> 31U);
    }

} // namespace

double coldRate(const RelayService& service)
{
    const double rate = service.coldRequestsPerSecond;
    return std::isfinite(rate) && rate > 0 ? rate : 0;
}

std::optional<double> coldRateAt(const RelayService& service, const ColdStart& cold, Milliseconds at)
{
    const double rate = coldRate(service);
    if (rate == 0)
        return std::nullopt;
    if (at < cold.until)
        return rate;
    const Milliseconds warmsFor = at - cold.until;
    if (cold.unconfirmed || warmsFor >= service.coldPeriod)
        return std::nullopt;
    const std::int64_t step = warmsFor.value * warmUpSteps / service.coldPeriod.value;
    return rate * static_cast<double>(2 + step);
}

SharedLimit shareColdLimit(
    double requestsPerSecond, double bearable, std::uint32_t entryCount, std::uint32_t entriesBefore)
{
    const double entries = std::max(1U, entryCount);
    const double total = std::max(1.0, std::floor(std::min(requestsPerSecond + 1, bearable)));
    const double each = std::clamp(std::ceil(minColdRateShare * requestsPerSecond / entries), 1.0, total);
    const double sharers = std::clamp(std::floor(total / each), 1.0, entries);
    return { .requestsPerSecond = std::min(requestsPerSecond, sharers * each * coldPaceShare),
        .sharers = static_cast<std::uint32_t>(sharers),
        .sharesHere = entriesBefore < sharers };
}

const RelayService* coldServiceOf(const RelayState& state, const ServiceId& service)
{
    if (!state.config)
        return nullptr;
    const auto found = state.config->services.find(service);
    return found != state.config->services.end() && coldRate(found->second) > 0 ? &found->second : nullptr;
}

std::optional<SharedLimit> coldLimit(const RelayState& state, const RelayUpstream& view, Milliseconds at)
{
    const RelayService* service = view.cold ? coldServiceOf(state, view.entry.service) : nullptr;
    const std::optional<double> rate = service ? coldRateAt(*service, *view.cold, at) : std::nullopt;
    if (!rate)
        return std::nullopt;
    // What a cold upstream bears does not bind one that warms up.
    const double bearable = at < view.cold->until ? *rate * state.options.coldOverage + state.options.coldSlack
                                                  : std::numeric_limits<double>::max();
    return shareColdLimit(*rate, bearable, state.coldSharers.highestCount, view.cold->entriesBefore);
}

bool isHeldByCold(const RelayState& state, const RelayUpstream& view, Milliseconds now)
{
    const std::optional<SharedLimit> limit = coldLimit(state, view, now);
    return limit
        && (now < view.cold->sendsFrom || (now < state.coldSharers.mayShareFrom && !view.cold->unconfirmed)
            || !limit->sharesHere || allowanceAt(*limit, view.cold->allowance, now) < 1);
}

bool anyHeldByCold(const RelayState& state, const ServiceId& service, Milliseconds now)
{
    return std::any_of(state.upstreams.begin(), state.upstreams.end(), [&](const auto& item) {
        const RelayUpstream& view = item.second;
        return view.cold && view.listed && !view.entry.leaving && view.entry.service == service
            && isHeldByCold(state, view, now);
    });
}

std::uint32_t countEntriesBefore(const RelayState& state, std::uint64_t upstream)
{
    // Without the names of the others they take turns by their order.
    if (state.coldSharers.others.empty())
        return static_cast<std::uint32_t>((state.entryPosition + upstream) % std::max(1U, state.entryCount));
    const std::uint64_t own = mix(stableHash("cold", state.options.host.value), upstream);
    return static_cast<std::uint32_t>(std::count_if(state.coldSharers.others.begin(), state.coldSharers.others.end(),
        [&](const auto& other) { return mix(other.first, upstream) > own; }));
}

const char* coldCauseName(ColdCause cause)
{
    switch (cause) {
    case ColdCause::Listed:
        return "listed";
    case ColdCause::Restarted:
        return "restarted";
    case ColdCause::Silence:
        return "silence";
    case ColdCause::Evacuation:
        return "evacuation-ends";
    case ColdCause::Row:
        return "row";
    case ColdCause::Answer:
        break;
    }
    return "answer";
}

} // namespace hickory

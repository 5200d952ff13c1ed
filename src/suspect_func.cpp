#include "suspect_func.h"

#include <algorithm>

namespace hickory {

namespace {

    /// Number of crashes from which equal requests are refused.
    constexpr std::uint32_t quarantineCrashes = 2;

    /// @return suspicion against a request, or nullptr
    const Suspect* findSuspect(const EntryState& state, const ServiceId& service, const RequestDigest& digest)
    {
        const auto& entries = state.requests.suspects.entries;
        if (entries.empty())
            return nullptr;
        const auto found = entries.find({ service, digest });
        return found == entries.end() ? nullptr : &found->second;
    }

} // namespace

std::uint32_t crashCount(const EntryState& state, const ServiceId& service, const RequestDigest& digest)
{
    const Suspect* suspect = findSuspect(state, service, digest);
    return suspect ? suspect->crashes : 0;
}

Milliseconds lastCrashAt(const EntryState& state, const ServiceId& service, const RequestDigest& digest)
{
    constexpr Milliseconds distantPast { -1000000000 };
    const Suspect* suspect = findSuspect(state, service, digest);
    return suspect && suspect->crashes > 0 ? suspect->changedAt : distantPast;
}

Milliseconds quarantineRemaining(const EntryState& state, const ServiceConfig& service, const RequestDigest& digest)
{
    const Suspect* suspect = findSuspect(state, service.name, digest);
    if (!suspect || suspect->crashes < quarantineCrashes)
        return {};
    return std::max(Milliseconds {}, suspect->changedAt + service.quarantine - state.now);
}

} // namespace hickory

#include "crash_func.h"

#include "digest_func.h"
#include "table/crash_limits.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace hickory {

namespace {

    bool intersects(const RequestTraits& left, const RequestTraits& right)
    {
        return std::any_of(left.begin(), left.end(), [&](RequestTrait trait) { return right.contains(trait); });
    }

    using Crashes = std::vector<const KnownCrash*>;

    /// @param crashes in order of time
    /// @return number of crashes; those that may have a common cause count once
    std::size_t countIndependent(const Crashes& crashes)
    {
        std::size_t count = 0;
        Milliseconds last;
        for (const KnownCrash* crash : crashes) {
            if (count > 0 && crash->at - last <= commonFailureWindow)
                continue;
            last = crash->at;
            ++count;
        }
        return count;
    }

    /// Moves the explained crashes out of `unexplained`.
    /// @param unexplained in order of time
    /// @param wholeRequests whether whole requests or prompt parts are blamed
    void blame(Crashes& unexplained, bool wholeRequests, std::vector<RequestTraits>& culprits)
    {
        const std::size_t least = wholeRequests ? quarantineCrashesOfRequest : quarantineCrashes;
        while (true) {
            std::map<RequestTrait, Crashes> crashesOf;
            for (const KnownCrash* crash : unexplained)
                for (const RequestTrait trait : crash->traits)
                    if (isWholeRequest(trait) == wholeRequests)
                        crashesOf[trait].push_back(crash);
            const auto worst
                = std::max_element(crashesOf.begin(), crashesOf.end(), [](const auto& left, const auto& right) {
                      return countIndependent(left.second) < countIndependent(right.second);
                  });
            if (worst == crashesOf.end() || countIndependent(worst->second) < least)
                return;
            RequestTraits group;
            for (const auto& [trait, crashes] : crashesOf)
                if (crashes == worst->second)
                    group.insert(trait);
            culprits.push_back(std::move(group));
            for (const KnownCrash* explained : worst->second)
                std::erase(unexplained, explained);
        }
    }

    /// @return whether a single suspected trait explains the crash, so that its other traits need not be suspected
    bool isExplained(const CrashState& state, const KnownCrash& crash)
    {
        return std::any_of(state.quarantines.begin(), state.quarantines.end(), [&](const Quarantine& quarantine) {
            return quarantine.traits.size() == 1 && crash.traits.contains(*quarantine.traits.begin());
        });
    }

    /// @return whether the request shares a suspected prompt part with others. A whole request is retried freely until
    /// it is quarantined: sound requests that a crash cuts off must not wait for each other.
    bool sharesPromptPart(const RequestTraits& suspected, const RequestTraits& traits)
    {
        return std::any_of(suspected.begin(), suspected.end(),
            [&](RequestTrait trait) { return !isWholeRequest(trait) && traits.contains(trait); });
    }

} // namespace

bool includesAll(const RequestTraits& traits, const RequestTraits& wanted)
{
    return std::includes(traits.begin(), traits.end(), wanted.begin(), wanted.end());
}

CrashId crashId(const UpstreamId& upstream, std::int64_t processStartedAt)
{
    return { stableHash(upstream.value, std::to_string(processStartedAt)) };
}

bool isSound(const SoundTraits& sound, RequestTrait trait)
{
    return sound.current.contains(trait) || sound.previous.contains(trait);
}

std::vector<RequestTraits> findCulprits(const std::map<CrashId, KnownCrash>& crashes)
{
    Crashes unexplained;
    for (const auto& [id, crash] : crashes)
        unexplained.push_back(&crash);
    std::stable_sort(unexplained.begin(), unexplained.end(),
        [](const KnownCrash* left, const KnownCrash* right) { return left->at < right->at; });
    std::vector<RequestTraits> culprits;
    blame(unexplained, false, culprits);
    blame(unexplained, true, culprits);
    return culprits;
}

Milliseconds quarantineEnd(const Quarantine& quarantine)
{
    const std::uint32_t doublings = std::min(quarantine.count - 1, maxQuarantineDoublings);
    return quarantine.since + Milliseconds { quarantinePeriod.value << doublings };
}

const Quarantine* findQuarantine(const CrashState& state, const RequestTraits& traits, Milliseconds now)
{
    for (const Quarantine& quarantine : state.quarantines)
        if (now < quarantineEnd(quarantine) && includesAll(traits, quarantine.traits))
            return &quarantine;
    return nullptr;
}

std::optional<Milliseconds> suspicionHold(const CrashState& state, const RequestTraits& traits, Milliseconds now)
{
    std::optional<Milliseconds> hold;
    const auto suspect = [&](Milliseconds from) { hold = std::max(hold.value_or(from), from); };
    for (const auto& [id, crash] : state.crashes)
        if (now - crash.at < suspicionMaxAge && sharesPromptPart(crash.traits, traits) && !isExplained(state, crash))
            suspect(crash.trialAt);
    for (const auto& [upstream, broken] : state.broken)
        if (!broken.recorded && sharesPromptPart(broken.traits, traits))
            suspect(now);
    for (const Quarantine& quarantine : state.quarantines) {
        // Of several traits that nothing tells apart, a request with only some of them shows which one crashes.
        const bool ended = now >= quarantineEnd(quarantine);
        if (ended ? includesAll(traits, quarantine.traits)
                  : quarantine.traits.size() > 1 && intersects(quarantine.traits, traits))
            suspect(ended ? quarantine.trialAt : now);
    }
    return hold;
}

std::string traitsText(const RequestTraits& traits)
{
    std::string text;
    for (const RequestTrait trait : traits) {
        constexpr std::size_t digits = 16;
        std::array<char, digits + 1> hex {};
        std::snprintf(hex.data(), hex.size(), "%016llx", static_cast<unsigned long long>(trait.value));
        text += (text.empty() ? "" : ",") + std::string(hex.data());
    }
    return text;
}

} // namespace hickory

#include "begun_request_func.h"
#include "crash_func.h"
#include "relay_cmd.h"
#include "relay_reduce_func.h"
#include "table/crash_limits.h"
#include "table/crash_news_limits.h"

#include <algorithm>

namespace hickory {

namespace {

    constexpr std::uint16_t statusBadGateway = 502;
    constexpr std::uint16_t statusUnavailable = 503;

    /// @return a random share of the time over which the entries spread their trials
    Milliseconds trialJitter(RelayState& state)
    {
        const std::int64_t spread = std::min(trialSpreadPerEntry * state.entryCount, maxTrialSpread).value;
        return { std::uniform_int_distribution<std::int64_t>(0, spread)(state.random) };
    }

    /// Adds a trait to those known to be sound. Those beyond the bound are not known to be.
    void insertSound(SoundTraits& sound, RequestTrait trait, Milliseconds now)
    {
        if (now - sound.since >= soundPeriod) {
            sound.previous
                = now - sound.since < soundPeriod * 2 ? std::move(sound.current) : decltype(sound.current) {};
            sound.current.clear();
            sound.since = now;
        }
        if (sound.current.size() < maxSoundTraits)
            sound.current.insert(trait);
    }

    bool isSuspected(const CrashState& state, RequestTrait trait)
    {
        const auto has = [&](const auto& item) { return item.second.traits.contains(trait); };
        return std::any_of(state.crashes.begin(), state.crashes.end(), has)
            || std::any_of(state.broken.begin(), state.broken.end(), has)
            || std::any_of(state.quarantines.begin(), state.quarantines.end(),
                [&](const Quarantine& quarantine) { return quarantine.traits.contains(trait); });
    }

    /// Drops the suspicion against a trait with which a request began.
    /// @param learned whether another entry told it
    void clearTrait(RelayState& state, RequestTrait trait, bool learned, Milliseconds now, RelayEffects& effects)
    {
        CrashState& known = state.crashes;
        for (auto& [id, crash] : known.crashes)
            crash.traits.erase(trait);
        for (auto& [upstream, broken] : known.broken)
            broken.traits.erase(trait);
        std::erase_if(known.crashes, [](const auto& item) { return item.second.traits.empty(); });
        for (auto quarantine = known.quarantines.begin(); quarantine != known.quarantines.end();) {
            const bool applied = quarantine->traits.erase(trait) > 0;
            if (!applied || !quarantine->traits.empty()) {
                ++quarantine;
                continue;
            }
            effects.emplace_back(
                LogLine { .event = "quarantine-ended", .fields = { { "trait", traitsText({ trait }) } } });
            quarantine = known.quarantines.erase(quarantine);
        }
        known.soundNews[trait] = now;
        insertSound(known.sound, trait, now);
        effects.emplace_back(LogLine { .event = "trait-sound", .fields = { { "trait", traitsText({ trait }) } } });
        effects.emplace_back(AnnounceCrashNews { .learned = learned });
    }

    /// Adds a suspected trait to a crash. Prompt parts take the place of whole requests when there is no room.
    /// @return whether it is new
    bool addTrait(RequestTraits& traits, RequestTrait trait)
    {
        if (traits.contains(trait))
            return false;
        if (traits.size() >= maxTraitsPerCrash) {
            const auto displaced
                = isWholeRequest(trait) ? traits.end() : std::find_if(traits.begin(), traits.end(), isWholeRequest);
            if (displaced == traits.end())
                return false;
            traits.erase(displaced);
        }
        traits.insert(trait);
        return true;
    }

    /// @return the crash, added if it is not known, or nullptr when only later ones can be kept
    KnownCrash* findOrAddCrash(RelayState& state, CrashId id, Milliseconds at)
    {
        auto& crashes = state.crashes.crashes;
        if (const auto found = crashes.find(id); found != crashes.end())
            return &found->second;
        if (crashes.size() >= maxKnownCrashes) {
            const auto oldest = std::min_element(crashes.begin(), crashes.end(),
                [](const auto& left, const auto& right) { return left.second.at < right.second.at; });
            if (oldest->second.at >= at)
                return nullptr;
            crashes.erase(oldest);
        }
        KnownCrash& crash = crashes[id];
        crash = { .at = at, .changedAt = at, .trialAt = at + trialDelay + trialJitter(state), .traits = {} };
        return &crash;
    }

    /// Records what a crash cut off. Traits known to be sound are left out and announced as such.
    /// @return the crash if anything was new, or nullptr
    KnownCrash* recordCrash(
        RelayState& state, CrashId id, Milliseconds at, const RequestTraits& traits, Milliseconds now)
    {
        CrashState& known = state.crashes;
        RequestTraits suspects;
        for (const RequestTrait trait : traits) {
            if (!isSound(known.sound, trait))
                suspects.insert(trait);
            else if (!isWholeRequest(trait))
                known.soundNews[trait] = now;
        }
        KnownCrash* crash = suspects.empty() ? nullptr : findOrAddCrash(state, id, at);
        if (!crash)
            return nullptr;
        bool isNew = false;
        for (const RequestTrait trait : suspects)
            isNew = addTrait(crash->traits, trait) || isNew;
        return isNew ? crash : nullptr;
    }

    /// @return number of crashes that have all the traits
    std::size_t crashesWith(const CrashState& state, const RequestTraits& traits)
    {
        return static_cast<std::size_t>(std::count_if(state.crashes.begin(), state.crashes.end(),
            [&](const auto& item) { return includesAll(item.second.traits, traits); }));
    }

    void beginQuarantine(
        RelayState& state, Quarantine& quarantine, Milliseconds since, Milliseconds now, RelayEffects& effects)
    {
        quarantine.since = since;
        quarantine.changedAt = since;
        quarantine.trialAt = quarantineEnd(quarantine) + trialJitter(state) * quarantineTrialFactor;
        const std::size_t crashes = crashesWith(state.crashes, quarantine.traits);
        effects.emplace_back(LogLine { .level = LogLevel::Warning,
            .event = "quarantine",
            .fields = { { "traits", traitsText(quarantine.traits) }, { "crashes", std::to_string(crashes) },
                { "count", std::to_string(quarantine.count) },
                { "for_ms", std::to_string((quarantineEnd(quarantine) - now).value) } } });
        effects.emplace_back(MetricSample { .name = "quarantines_total" });
        // The other entries of the data centre draw the same conclusion from the same crashes.
        if (now - since < crashNewsPeriod)
            effects.emplace_back(AnnounceCrashNews { .learned = true });
    }

    /// @return the quarantine of exactly these traits, or nullptr
    Quarantine* findExact(CrashState& state, const RequestTraits& traits)
    {
        const auto found = std::find_if(state.quarantines.begin(), state.quarantines.end(),
            [&](const Quarantine& quarantine) { return quarantine.traits == traits; });
        return found == state.quarantines.end() ? nullptr : &*found;
    }

    Quarantine& addQuarantine(CrashState& state, Quarantine quarantine)
    {
        if (state.quarantines.size() >= maxQuarantines)
            state.quarantines.erase(std::min_element(state.quarantines.begin(), state.quarantines.end(),
                [](const Quarantine& left, const Quarantine& right) { return left.since < right.since; }));
        state.quarantines.push_back(std::move(quarantine));
        return state.quarantines.back();
    }

    /// @return whether each crash that has the traits of a quarantine has those of a culprit behind more crashes
    bool isSuperseded(const CrashState& state, const Quarantine& quarantine, const std::vector<RequestTraits>& culprits)
    {
        const std::size_t explained = crashesWith(state, quarantine.traits);
        return explained > 0 && std::any_of(culprits.begin(), culprits.end(), [&](const RequestTraits& culprit) {
            RequestTraits both = quarantine.traits;
            both.insert(culprit.begin(), culprit.end());
            return culprit != quarantine.traits && crashesWith(state, both) == explained
                && crashesWith(state, culprit) > explained;
        });
    }

    /// Refuses the requests to which a quarantine applies and that no upstream has begun.
    void refuseQuarantined(RelayState& state, Milliseconds now, RelayEffects& effects)
    {
        std::vector<CallId> refused;
        for (const auto& [call, request] : state.requests)
            if ((!request.active || request.active->prefilling) && mayEnd(request, EndCause::Quarantine)
                && findQuarantine(state.crashes, request.traits, now))
                refused.push_back(call);
        for (const CallId call : refused) {
            RelayRequest& request = state.requests.at(call);
            const bool mayRun = request.mayHaveRun || request.active;
            refuseRequest(state, request, mayRun ? statusBadGateway : statusUnavailable, "quarantined", now, effects);
        }
    }

    /// Draws conclusions from the known crashes.
    void updateQuarantines(RelayState& state, Milliseconds now, RelayEffects& effects)
    {
        CrashState& known = state.crashes;
        const std::vector<RequestTraits> culprits = findCulprits(known.crashes);
        for (const RequestTraits& culprit : culprits)
            if (!findExact(known, culprit))
                beginQuarantine(state, addQuarantine(known, { .traits = culprit }), now, now, effects);
        for (Quarantine& quarantine : known.quarantines) {
            // Entries begin a quarantine at slightly different times, so that one may try while another still refuses.
            const Milliseconds settled = quarantine.since + quarantinePeriod / 2;
            const bool tried = std::any_of(known.crashes.begin(), known.crashes.end(), [&](const auto& item) {
                return item.second.at >= settled && includesAll(item.second.traits, quarantine.traits);
            });
            if (!tried)
                continue;
            ++quarantine.count;
            beginQuarantine(state, quarantine, now, now, effects);
        }
        std::erase_if(known.quarantines, [&](const Quarantine& quarantine) {
            if (!isSuperseded(known, quarantine, culprits))
                return false;
            effects.emplace_back(
                LogLine { .event = "quarantine-ended", .fields = { { "traits", traitsText(quarantine.traits) } } });
            return true;
        });
        refuseQuarantined(state, now, effects);
    }

    /// @return whether connections to many upstreams of the service broke together with these
    bool isCommonFailure(const RelayState& state, const UpstreamId& upstream, Milliseconds at)
    {
        const auto view = state.upstreams.find(upstream);
        if (view == state.upstreams.end())
            return false;
        const auto listed = std::count_if(state.upstreams.begin(), state.upstreams.end(), [&](const auto& item) {
            return item.second.listed && item.second.entry.service == view->second.entry.service;
        });
        const auto together
            = std::count_if(state.crashes.broken.begin(), state.crashes.broken.end(), [&](const auto& item) {
                  const Milliseconds apart = item.second.at - at;
                  return std::max(apart, Milliseconds {} - apart) <= commonFailureWindow;
              });
        return static_cast<std::size_t>(together)
            >= std::max(minCommonFailures, static_cast<std::size_t>(listed) / commonFailureDivisor);
    }

    /// @return whether the process is known to have ended, or must have: all that this entry had in flight there broke,
    /// and the network is not the cause
    bool hasEnded(const RelayState& state, const UpstreamId& upstream, const BrokenUpstream& broken)
    {
        constexpr std::uint32_t several = 2;
        if (broken.ended)
            return true;
        const auto view = state.upstreams.find(upstream);
        const bool allBroke = view == state.upstreams.end() || view->second.sent == 0;
        return !broken.probing && allBroke && broken.broken >= several && !isCommonFailure(state, upstream, broken.at);
    }

    /// Records the crashes behind connections that broke a moment ago.
    /// @return whether anything was new
    bool recordEndedUpstreams(RelayState& state, Milliseconds now, RelayEffects& effects)
    {
        bool recorded = false;
        for (auto& [upstream, broken] : state.crashes.broken) {
            if (broken.recorded || now - broken.at <= commonFailureWindow)
                continue;
            if (!hasEnded(state, upstream, broken))
                continue;
            broken.recorded = true;
            KnownCrash* crash = recordCrash(state, broken.process, broken.at, broken.traits, now);
            if (!crash)
                continue;
            recorded = true;
            crash->changedAt = now;
            crash->trialAt = now;
            effects.emplace_back(LogLine { .level = LogLevel::Warning,
                .event = "upstream-crashed",
                .fields = { { "upstream", upstream.value }, { "broken", std::to_string(broken.broken) },
                    { "traits", traitsText(crash->traits) } } });
            effects.emplace_back(MetricSample { .name = "upstream_crashes_total" });
            effects.emplace_back(AnnounceCrashNews {});
        }
        return recorded;
    }

    void forgetOld(CrashState& known, Milliseconds now)
    {
        std::erase_if(known.crashes, [&](const auto& item) { return now - item.second.at > crashMaxAge; });
        std::erase_if(known.broken, [&](const auto& item) { return now - item.second.at > crashConfirmTimeout; });
        std::erase_if(known.soundNews, [&](const auto& item) { return now - item.second > crashNewsPeriod; });
        std::erase_if(known.quarantines,
            [&](const Quarantine& quarantine) { return now - quarantineEnd(quarantine) > quarantineMemory; });
    }

    template <typename Container> std::vector<RequestTrait> listed(const Container& traits)
    {
        return { traits.begin(), traits.end() };
    }

} // namespace

RequestTraits traitsOf(const RequestMetadata& metadata)
{
    RequestTraits traits;
    for (const RequestTrait part : metadata.promptParts)
        traits.insert(asPromptPart(part.value));
    if (metadata.wholeRequest.value != 0)
        traits.insert(asWholeRequest(metadata.wholeRequest.value));
    return traits;
}

bool mayTry(const RelayState& state, const RelayRequest& request, Milliseconds now)
{
    const std::optional<Milliseconds> hold = suspicionHold(state.crashes, request.traits, now);
    if (!hold)
        return true;
    if (now < *hold)
        return false;
    const auto trial = state.crashes.trial ? state.requests.find(*state.crashes.trial) : state.requests.end();
    return trial == state.requests.end() || trial->first == request.call || !trial->second.active
        || !trial->second.active->prefilling;
}

void recordBrokenSend(
    RelayState& state, const RelayRequest& request, const ActiveSend& send, Milliseconds now, RelayEffects& effects)
{
    const UpstreamId& upstream = send.upstream;
    const auto view = state.upstreams.find(upstream);
    const CrashId process = crashId(upstream, view == state.upstreams.end() ? 0 : view->second.entry.processStartedAt);
    const auto [found, added] = state.crashes.broken.try_emplace(upstream);
    BrokenUpstream& broken = found->second;
    const bool old = broken.process != process || (broken.recorded && now - broken.at > commonFailureWindow);
    if (added || old) {
        broken = { .at = now, .process = process, .traits = {} };
        if (view != state.upstreams.end())
            effects.emplace_back(ProbeUpstream { .upstream = upstream, .address = view->second.entry.address });
    }
    ++broken.broken;
    if (!send.prefilling)
        return;
    for (const RequestTrait trait : request.traits)
        if (!isSound(state.crashes.sound, trait))
            broken.traits.insert(trait);
}

void applyProbe(RelayState& state, const UpstreamProbed& event)
{
    const auto broken = state.crashes.broken.find(event.upstream);
    if (broken == state.crashes.broken.end() || broken->second.recorded)
        return;
    broken->second.probing = false;
    if (event.result == ProbeResult::Refused)
        broken->second.ended = true;
    else if (event.result == ProbeResult::Accepted)
        state.crashes.broken.erase(broken);
}

void recordUpstreamEnd(RelayState& state, const UpstreamId& upstream)
{
    if (const auto broken = state.crashes.broken.find(upstream); broken != state.crashes.broken.end())
        broken->second.ended = true;
}

void recordUpstreamAlive(RelayState& state, const UpstreamId& upstream, Milliseconds sentAt)
{
    const auto broken = state.crashes.broken.find(upstream);
    if (broken != state.crashes.broken.end() && !broken->second.recorded && sentAt < broken->second.at)
        state.crashes.broken.erase(broken);
}

void recordBegun(RelayState& state, const RelayRequest& request, Milliseconds now, RelayEffects& effects)
{
    std::size_t kept = 0;
    for (const RequestTrait trait : request.traits) {
        if (isSuspected(state.crashes, trait))
            clearTrait(state, trait, false, now, effects);
        else if (!isWholeRequest(trait) && kept++ < maxSoundTraitsOfRequest)
            insertSound(state.crashes.sound, trait, now);
    }
}

namespace {

    /// @return whether anything was new
    bool mergeCrash(RelayState& state, const CrashReport& report, Milliseconds now, RelayEffects& effects)
    {
        KnownCrash* crash = report.age < crashMaxAge
            ? recordCrash(state, report.crash, now - report.age, { report.traits.begin(), report.traits.end() }, now)
            : nullptr;
        if (crash && report.age < crashNewsPeriod) {
            crash->changedAt = now;
            effects.emplace_back(AnnounceCrashNews { .learned = true });
        }
        return crash != nullptr;
    }

    /// @return whether anything was new
    bool mergeQuarantine(RelayState& state, const QuarantineReport& report, Milliseconds now, RelayEffects& effects)
    {
        CrashState& known = state.crashes;
        Quarantine received { .traits = { report.traits.begin(), report.traits.end() },
            .since = now - report.age,
            .count = std::max<std::uint32_t>(report.count, 1) };
        std::erase_if(received.traits, [&](RequestTrait trait) {
            if (!isSound(known.sound, trait))
                return false;
            known.soundNews[trait] = now;
            return true;
        });
        if (received.traits.empty() || now - quarantineEnd(received) > quarantineMemory)
            return false;
        Quarantine* quarantine = findExact(known, received.traits);
        if (quarantine && quarantine->count >= received.count)
            return false;
        if (quarantine)
            quarantine->count = received.count;
        else
            quarantine = &addQuarantine(known, received);
        beginQuarantine(state, *quarantine, received.since, now, effects);
        return true;
    }

} // namespace

void applyCrashNews(RelayState& state, const CrashNewsReceived& event, Milliseconds now, RelayEffects& effects)
{
    bool changed = false;
    for (const SoundTraitReport& report : event.news.sound) {
        if (!isSuspected(state.crashes, report.trait))
            continue;
        clearTrait(state, report.trait, true, now, effects);
        changed = true;
    }
    for (const CrashReport& report : event.news.crashes)
        changed = mergeCrash(state, report, now, effects) || changed;
    for (const QuarantineReport& report : event.news.quarantines)
        changed = mergeQuarantine(state, report, now, effects) || changed;
    if (changed)
        updateQuarantines(state, now, effects);
}

void updateCrashes(RelayState& state, Milliseconds now, RelayEffects& effects)
{
    if (recordEndedUpstreams(state, now, effects))
        updateQuarantines(state, now, effects);
    forgetOld(state.crashes, now);
}

CrashNews crashNews(const RelayState& state, bool whole, Milliseconds now)
{
    const CrashState& known = state.crashes;
    // What is about to be forgotten is not told: entries that forgot it already would learn it again.
    const auto isNews = [&](Milliseconds changedAt, Milliseconds forgottenAt) {
        return (whole || now - changedAt < crashNewsPeriod) && now < forgottenAt - crashNewsMargin;
    };
    CrashNews news;
    std::vector<std::pair<Milliseconds, CrashId>> newest;
    for (const auto& [id, crash] : known.crashes)
        if (isNews(crash.changedAt, crash.at + crashMaxAge))
            newest.emplace_back(crash.at, id);
    std::sort(newest.rbegin(), newest.rend());
    newest.resize(std::min(newest.size(), maxNewsCrashes));
    for (const auto& [at, id] : newest)
        news.crashes.push_back({ .crash = id, .age = now - at, .traits = listed(known.crashes.at(id).traits) });
    for (const Quarantine& quarantine : known.quarantines)
        if (isNews(quarantine.changedAt, quarantineEnd(quarantine) + quarantineMemory))
            news.quarantines.push_back(
                { .traits = listed(quarantine.traits), .age = now - quarantine.since, .count = quarantine.count });
    for (const auto& [trait, soundAt] : known.soundNews)
        news.sound.push_back({ .trait = trait, .age = now - soundAt });
    std::stable_sort(news.sound.begin(), news.sound.end(),
        [](const SoundTraitReport& left, const SoundTraitReport& right) { return left.age < right.age; });
    return news;
}

} // namespace hickory

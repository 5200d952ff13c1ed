#include "rollout_cmd.h"

#include "member_func.h"
#include "placement_row_func.h"
#include "rollout_row_func.h"
#include "weights_assign_cmd.h"

#include <algorithm>

namespace hickory {

namespace {

    /// While this host waits for a permit, row reads of the whole fleet stay under 100 a second.
    constexpr std::int64_t waitMillisecondsForHost = 10;
    constexpr Milliseconds shortestWait { 500 };
    constexpr Milliseconds longestWait { 5000 };
    /// Afterwards the row is read only to learn that a rollout was stopped.
    constexpr std::int64_t idleFactor = 4;
    constexpr Milliseconds renewInterval { 15000 };
    /// Time for which a host of the first wave serves before it counts as done.
    constexpr Milliseconds observation { 5000 };
    /// Fewer failures than this are no proof, whatever the rate before.
    constexpr std::uint32_t fewFailures = 3;
    constexpr double failureFactor = 2;
    /// An order that fails at once may have met an engine that restarts.
    constexpr Milliseconds failurePatience { 1000 };
    constexpr std::uint32_t maxOrderFailures = 3;
    /// A holder whose engine does not answer gives its permit to hosts that can use it.
    constexpr Milliseconds unreachablePatience { 30000 };

    Milliseconds waitInterval(AgentState& state)
    {
        const auto hosts = static_cast<std::int64_t>(state.members.list.members.size());
        const Milliseconds interval
            = std::clamp(Milliseconds { hosts * waitMillisecondsForHost }, shortestWait, longestWait);
        const auto jitter = state.random() % static_cast<std::uint64_t>(interval.value);
        return interval / 2 + Milliseconds { static_cast<std::int64_t>(jitter) };
    }

    void readRow(AgentState& state, const ServiceId& service, AgentEffects& effects)
    {
        RolloutState& rollout = state.weights.rollout;
        rollout.waiting = true;
        rollout.write = PermitWrite::None;
        effects.emplace_back(StoreRead {
            .token = { .purpose = StorePurpose::Permit, .subject = service.value, .number = ++rollout.operation },
            .key = permitKey(service) });
    }

    void writeRow(AgentState& state, const ServiceId& service, const PermitView& view, const PermitRow& row,
        PermitWrite purpose, AgentEffects& effects)
    {
        RolloutState& rollout = state.weights.rollout;
        rollout.waiting = true;
        rollout.write = purpose;
        rollout.service = service;
        effects.emplace_back(StoreWrite {
            .token = { .purpose = StorePurpose::Permit, .subject = service.value, .number = ++rollout.operation },
            .key = permitKey(service),
            .ifVersion = view.version,
            .value = permitRowJson(row) });
    }

    LogLine permitLine(const AgentState& state, const char* event, const ServiceId& service, const std::string& reason)
    {
        const std::optional<WantedModel>& wanted = state.weights.wanted;
        return { .event = event,
            .fields = { { "host", state.settings.process.host.value }, { "service", service.value },
                { "version", wanted ? wanted->model.version.value : "" }, { "reason", reason },
                { "generation", std::to_string(state.weights.generation.value) },
                { "fence", std::to_string(state.engine.fence.value) } } };
    }

    bool servesWanted(const AgentState& state)
    {
        return state.engine.serving && runsWanted(*state.engine.serving, *state.weights.wanted);
    }

    bool wholeWanted(const AgentState& state)
    {
        const auto found = state.weights.downloads.find(state.weights.wanted->model.manifest);
        return found != state.weights.downloads.end() && found->second.whole;
    }

    /// Follows how long the model in service serves and how many requests fail with it.
    void watchServing(AgentState& state)
    {
        RolloutState& rollout = state.weights.rollout;
        if (!state.engine.serving)
            return;
        const ModelConfig model = targetModel(*state.engine.serving);
        if (!rollout.observedModel || !sameTarget(*rollout.observedModel, model)) {
            rollout.previousServingTime = rollout.observedModel ? state.now - rollout.servingSince : Milliseconds { 0 };
            rollout.previousFailures = rollout.failures;
            rollout.observedModel = model;
            rollout.servingSince = state.now;
        }
        rollout.failures = state.engine.failures;
    }

    bool failsMoreThanBefore(const AgentState& state)
    {
        const RolloutState& rollout = state.weights.rollout;
        if (rollout.failures < fewFailures)
            return false;
        const auto served = static_cast<double>(std::max<std::int64_t>(1, (state.now - rollout.servingSince).value));
        const auto before = static_cast<double>(std::max(observation, rollout.previousServingTime).value);
        return rollout.failures / served > failureFactor * rollout.previousFailures / before;
    }

    /// @return why the load of the wanted model counts as failed, empty when it does not
    std::string loadFailure(AgentState& state)
    {
        RolloutState& rollout = state.weights.rollout;
        const EngineState& engine = state.engine;
        const bool tried = engine.target && runsWanted(*engine.target, *state.weights.wanted) && !servesWanted(state);
        const bool failed = tried
            && ((engine.phase == EnginePhase::Failed && engine.upstream.reachable)
                || engine.orderFailures >= maxOrderFailures);
        if (!failed) {
            rollout.failedSince = { 0 };
            return {};
        }
        if (rollout.failedSince.value == 0)
            rollout.failedSince = state.now;
        if (state.now - rollout.failedSince < failurePatience)
            return {};
        return "load failed" + (engine.detail.empty() ? std::string {} : ": " + engine.detail);
    }

    /// @return why the services that this one depends on are not yet at their versions, empty when they are
    std::string dependencyRefusal(AgentState& state, const ServiceId& service, AgentEffects& effects)
    {
        const ServiceConfig* own = findEngineService(*state.config.config, service);
        for (const ServiceId& name : own ? own->dependsOn : std::vector<ServiceId> {}) {
            const ServiceConfig* needed = findEngineService(*state.config.config, name);
            if (!needed)
                continue;
            effects.emplace_back(StoreRead {
                .token = { .purpose = StorePurpose::Placement, .subject = name.value }, .key = placementKey(name) });
            effects.emplace_back(StoreRead {
                .token = { .purpose = StorePurpose::Permit, .subject = name.value }, .key = permitKey(name) });
            const PlacementView& placement = state.weights.placements[name];
            const PermitView& permit = state.weights.permits[name];
            if (!placement.known || !permit.known)
                return "dependency-unknown:" + name.value;
            if (permit.row.stopped)
                return "dependency-stopped:" + name.value;
            for (const HostId& host : placement.row.hosts)
                if (!isLeaving(state.members, host)
                    && (!sameTarget(permit.row.model, *needed->model) || !containsHost(permit.row.done, host)))
                    return "dependency-first:" + name.value;
        }
        return {};
    }

    void tryTake(AgentState& state, const PermitView& view, AgentEffects& effects)
    {
        WeightsState& weights = state.weights;
        RolloutState& rollout = weights.rollout;
        const WantedModel& wanted = *weights.wanted;
        const HostId& self = state.settings.process.host;
        PermitRow row = view.row;
        std::vector<HostId> expired = removeExpired(row, view, state.now);
        const bool tracks = sameTarget(row.model, wanted.model);
        const bool returns = row.stopped && row.previous && sameTarget(*row.previous, wanted.model);
        std::string refusal;
        if (!tracks && !returns && row.generation > weights.generation)
            refusal = "newer-text";
        else if (!tracks && !returns)
            row = beginRollout(row, weights.generation, wanted.model, targetModel(*state.engine.serving));
        if (refusal.empty())
            refusal = permitRefusal(row, wanted.model, self, wanted.maxOut);
        if (refusal.empty() && !returns)
            refusal = dependencyRefusal(state, wanted.service, effects);
        if (refusal != rollout.permitWaitReason && !refusal.empty())
            effects.emplace_back(permitLine(state, "permit-waits", wanted.service, refusal));
        rollout.permitWaitReason = refusal;
        if (!refusal.empty()) {
            rollout.nextStore = state.now + waitInterval(state);
            return readRow(state, wanted.service, effects);
        }
        for (const HostId& host : expired)
            effects.emplace_back(permitLine(state, "permit-expired", wanted.service, host.value));
        addHolder(row, { .host = self, .incarnation = state.incarnation, .renewal = ++rollout.renewal });
        writeRow(state, wanted.service, view, row, PermitWrite::Take, effects);
    }

    /// Reports this host as done once it serves the wanted model, in the first wave after a time of observation.
    void tryFinish(AgentState& state, const PermitView& view, AgentEffects& effects)
    {
        WeightsState& weights = state.weights;
        RolloutState& rollout = weights.rollout;
        const WantedModel& wanted = *weights.wanted;
        const HostId& self = state.settings.process.host;
        PermitRow row = view.row;
        const bool listed = std::any_of(
            row.holders.begin(), row.holders.end(), [&](const PermitHolder& holder) { return holder.host == self; });
        if (!sameTarget(row.model, wanted.model)) {
            const bool returned = row.stopped && row.previous && sameTarget(*row.previous, wanted.model);
            if (returned && listed) {
                removeHolder(row, self);
                return writeRow(state, wanted.service, view, row, PermitWrite::Release, effects);
            }
            if (returned || row.generation >= weights.generation)
                return;
            // The first host that serves a version without a rollout, e.g. in a new fleet, writes the row.
            row = beginRollout(row, weights.generation, wanted.model, {});
        } else if (row.stopped) {
            return;
        } else if (containsHost(row.done, self) && !listed) {
            return;
        }
        if (rollout.holding && !row.passed) {
            if (failsMoreThanBefore(state)) {
                failHost(
                    row, self, std::to_string(rollout.failures) + " requests failed, more than before", wanted.maxOut);
                return writeRow(state, wanted.service, view, row, PermitWrite::Fail, effects);
            }
            if (state.now - rollout.servingSince < observation)
                return;
        }
        finishHost(row, self, rollout.holding, wanted.maxOut);
        writeRow(state, wanted.service, view, row, PermitWrite::Finish, effects);
    }

    void renew(AgentState& state, const PermitView& view, AgentEffects& effects)
    {
        RolloutState& rollout = state.weights.rollout;
        if (state.now - rollout.renewedAt < renewInterval)
            return;
        PermitRow row = view.row;
        addHolder(row,
            { .host = state.settings.process.host, .incarnation = state.incarnation, .renewal = ++rollout.renewal });
        writeRow(state, rollout.service, view, row, PermitWrite::Renew, effects);
    }

    void release(AgentState& state, const ServiceId& service, const std::string& reason, AgentEffects& effects)
    {
        const PermitView& view = state.weights.permits[service];
        PermitRow row = view.row;
        removeHolder(row, state.settings.process.host);
        effects.emplace_back(permitLine(state, "permit-given-back", service, reason));
        writeRow(state, service, view, row, PermitWrite::Release, effects);
    }

    /// Goes on with a permit whose load is in progress or has failed.
    void holdPermit(AgentState& state, const PermitView& view, AgentEffects& effects)
    {
        WeightsState& weights = state.weights;
        const WantedModel& wanted = *weights.wanted;
        const std::string failure = loadFailure(state);
        if (!failure.empty() && sameTarget(view.row.model, wanted.model) && !view.row.stopped
            && !containsHost(view.row.failed, state.settings.process.host)) {
            PermitRow row = view.row;
            failHost(row, state.settings.process.host, failure, wanted.maxOut);
            return writeRow(state, wanted.service, view, row, PermitWrite::Fail, effects);
        }
        const bool waitsForEngine = !state.engine.serving && !state.engine.upstream.reachable;
        if (waitsForEngine && state.now - weights.rollout.takenAt > unreachablePatience)
            return release(state, wanted.service, "engine-unreachable", effects);
        renew(state, view, effects);
    }

    void noteHolding(AgentState& state, const ServiceId& service, AgentEffects& effects)
    {
        RolloutState& rollout = state.weights.rollout;
        const PermitRow& row = state.weights.permits[service].row;
        const bool listed = std::any_of(row.holders.begin(), row.holders.end(), [&](const PermitHolder& holder) {
            return holder.host == state.settings.process.host && holder.incarnation == state.incarnation;
        });
        if (rollout.holding && service != rollout.service)
            return;
        if (listed && !rollout.holding) {
            rollout.takenAt = rollout.renewedAt = state.now;
            rollout.service = service;
            effects.emplace_back(permitLine(state, "permit-taken", service,
                std::to_string(row.holders.size()) + " out, " + std::to_string(row.done.size()) + " done"));
            effects.emplace_back(MetricSample { .name = "permits_taken_total" });
        } else if (!listed && rollout.holding && state.engine.serving && state.engine.target
            && state.engine.target != state.engine.serving) {
            // The permit expired before the old model stopped serving: it goes on serving.
            effects.emplace_back(permitLine(state, "permit-lost", service, "expired"));
            state.engine.target = state.engine.serving;
        }
        rollout.holding = listed;
    }

    /// Logs the outcome of a write that took effect.
    void logWrite(AgentState& state, const ServiceId& service, PermitWrite write, AgentEffects& effects)
    {
        const PermitRow& row = state.weights.permits[service].row;
        if (write == PermitWrite::Finish)
            effects.emplace_back(permitLine(state, "rollout-host-done", service,
                std::to_string(row.done.size()) + " done, first wave " + (row.passed ? "passed" : "open")));
        if (write == PermitWrite::Fail) {
            LogLine line = permitLine(state, row.stopped ? "rollout-stopped" : "rollout-host-failed", service,
                row.stopped ? row.reason : "see engine-phase");
            line.level = LogLevel::Error;
            effects.emplace_back(std::move(line));
            effects.emplace_back(MetricSample { .name = "rollout_failures_total" });
        }
        if (write == PermitWrite::Renew)
            state.weights.rollout.renewedAt = state.now;
    }

} // namespace

ModelConfig targetModel(const EngineTarget& target)
{
    return { .name = target.model,
        .version = target.version,
        .manifest = target.manifest,
        .adapters = target.adapters,
        .role = target.role };
}

std::string loadReason(const AgentState& state)
{
    const WeightsState& weights = state.weights;
    const WantedModel& wanted = *weights.wanted;
    if (weights.rollout.holding && weights.rollout.service == wanted.service)
        return "permit";
    const auto found = weights.permits.find(wanted.service);
    if (found == weights.permits.end() || !found->second.known)
        return {};
    if (state.engine.serving && state.engine.serving->service == wanted.service)
        return {};
    // An engine that restarts on the old model does not join a first wave that is still being judged.
    const PermitRow& row = found->second.row;
    const bool reloads = state.engine.target && state.engine.target->service == wanted.service
        && state.engine.phase != EnginePhase::Failed;
    const bool judging
        = sameTarget(row.model, wanted.model) && !row.passed && (!row.holders.empty() || !row.done.empty());
    if (reloads && judging)
        return {};
    return "serves-nothing";
}

void tickRollout(AgentState& state, AgentEffects& effects)
{
    WeightsState& weights = state.weights;
    RolloutState& rollout = weights.rollout;
    watchServing(state);
    // The permit of a service that the text no longer has expires by itself.
    if (rollout.holding && !findEngineService(*state.config.config, rollout.service))
        rollout.holding = false;
    if (rollout.waiting || state.now < rollout.nextStore)
        return;
    if (rollout.holding && (!weights.wanted || weights.wanted->service != rollout.service))
        return release(state, rollout.service, "moved", effects);
    if (!weights.wanted)
        return;
    const WantedModel& wanted = *weights.wanted;
    const PermitView& view = weights.permits[wanted.service];
    if (!view.known) {
        rollout.nextStore = state.now + shortestWait;
        return readRow(state, wanted.service, effects);
    }
    const std::uint64_t operation = rollout.operation;
    if (servesWanted(state))
        tryFinish(state, view, effects);
    else if (rollout.holding)
        holdPermit(state, view, effects);
    else if (wholeWanted(state) && state.engine.serving && state.engine.serving->service == wanted.service)
        tryTake(state, view, effects);
    if (rollout.operation != operation)
        return;
    // Nothing to do: read the row now and then, since another host may stop the rollout.
    const Milliseconds interval = waitInterval(state) * (rollout.holding ? 1 : idleFactor);
    if (state.now - view.readAt >= interval) {
        rollout.nextStore = state.now + shortestWait;
        readRow(state, wanted.service, effects);
    }
}

void applyPermitAnswer(AgentState& state, const StoreAnswer& answer, AgentEffects& effects)
{
    RolloutState& rollout = state.weights.rollout;
    const ServiceId service { answer.token.subject };
    const bool awaited = rollout.waiting && answer.token.number == rollout.operation;
    const PermitWrite write = awaited ? rollout.write : PermitWrite::None;
    if (awaited)
        rollout.waiting = false;
    if (answer.status == StoreStatus::Unavailable) {
        // A write may have taken effect: only the row tells, so it is read before anything else.
        rollout.nextStore = state.now + waitInterval(state);
        if (const auto view = state.weights.permits.find(service); view != state.weights.permits.end() && awaited)
            view->second.known = view->second.known && write == PermitWrite::None;
        return;
    }
    if (!findEngineService(*state.config.config, service))
        return;
    PermitView& view = state.weights.permits[service];
    if (view.known && answer.version < view.version)
        return;
    PermitRow row;
    if (answer.version.value > 0) {
        Result<PermitRow> parsed = parsePermitRow(answer.value);
        if (!parsed) {
            effects.emplace_back(LogLine { .level = LogLevel::Warning,
                .event = "permit-row-unreadable",
                .fields = { { "service", service.value }, { "reason", parsed.error().text() } } });
            rollout.nextStore = state.now + waitInterval(state);
            return;
        }
        row = std::move(parsed.value());
    }
    if (write == PermitWrite::Finish || write == PermitWrite::Release)
        rollout.permitWaitReason.clear();
    adoptPermitRow(view, answer.version, std::move(row), state.now);
    if (state.weights.wanted && state.weights.wanted->service == service)
        noteHolding(state, service, effects);
    else if (rollout.holding && rollout.service == service)
        noteHolding(state, service, effects);
    if (answer.status == StoreStatus::Conflict)
        rollout.nextStore = state.now + waitInterval(state) / 4;
    else if (write != PermitWrite::None)
        logWrite(state, service, write, effects);
}

} // namespace hickory

#include "rollout_cmd.h"

#include "member_func.h"
#include "placement_row_func.h"
#include "rollout_row_func.h"
#include "weights_assign_cmd.h"

#include <algorithm>

namespace hickory {

namespace {

    /// The read interval of waiting hosts grows with the number of hosts, which bounds the row reads of the whole
    /// fleet: at most 100 a second on average up to 500 hosts, more above, where maxWait caps the interval.
    constexpr std::int64_t waitMillisecondsPerHost = 10;
    constexpr Milliseconds minWait { 500 };
    constexpr Milliseconds maxWait { 5000 };
    /// A host that neither waits for nor holds a permit reads the row less often by this factor, only to learn that the
    /// rollout was stopped.
    constexpr std::int64_t idleReadFactor = 4;
    /// A quarter of permitLifetime, so that a permit outlives a few failed renewals.
    constexpr Milliseconds renewInterval { 15000 };
    /// Time for which a host of the first wave has to serve the model before it counts as done.
    constexpr Milliseconds observationTime { 5000 };
    /// Fewer failed requests than this never stop a rollout, whatever the previous failure rate was.
    constexpr std::uint32_t minFailures = 3;
    /// Failure rate, relative to that of the previous model, above which a host of the first wave fails.
    constexpr double maxFailureRatio = 2;
    /// A load must stay failed for this long: an order that fails at once may have reached an engine that restarts.
    constexpr Milliseconds failureGracePeriod { 1000 };
    /// Failed load orders after which the load counts as failed.
    constexpr std::uint32_t maxOrderFailures = 3;
    /// A holder whose engine stays unreachable for this long releases its permit to other hosts.
    constexpr Milliseconds unreachableTimeout { 30000 };

    Milliseconds waitInterval(AgentState& state)
    {
        const auto hosts = static_cast<std::int64_t>(state.members.list.members.size());
        const Milliseconds interval = std::clamp(Milliseconds { hosts * waitMillisecondsPerHost }, minWait, maxWait);
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

    bool hasWantedWeights(const AgentState& state)
    {
        const auto found = state.weights.downloads.find(state.weights.wanted->model.manifest);
        return found != state.weights.downloads.end() && found->second.whole;
    }

    /// Records since when the current model serves and how many requests failed with it, and keeps the same figures of
    /// the model before it.
    void trackServingModel(AgentState& state)
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
        if (rollout.failures < minFailures)
            return false;
        const auto served = static_cast<double>(std::max<std::int64_t>(1, (state.now - rollout.servingSince).value));
        const auto before = static_cast<double>(std::max(observationTime, rollout.previousServingTime).value);
        return rollout.failures / served > maxFailureRatio * rollout.previousFailures / before;
    }

    /// @return why the load of the wanted model has failed, empty when it has not
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
        if (state.now - rollout.failedSince < failureGracePeriod)
            return {};
        return "load failed" + (engine.detail.empty() ? std::string {} : ": " + engine.detail);
    }

    /// Requests reads of the rows of the services that this one depends on, and checks what is known of them.
    /// @return why these services do not all serve their wanted models yet, empty when they do
    std::string dependencyRefusal(AgentState& state, const ServiceId& service, AgentEffects& effects)
    {
        const ServiceConfig* dependent = findEngineService(*state.config.config, service);
        for (const ServiceId& name : dependent ? dependent->dependsOn : std::vector<ServiceId> {}) {
            const ServiceConfig* dependency = findEngineService(*state.config.config, name);
            if (!dependency)
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
                    && (!sameTarget(permit.row.model, *dependency->model) || !containsHost(permit.row.done, host)))
                    return "dependency-first:" + name.value;
        }
        return {};
    }

    void tryTakePermit(AgentState& state, const PermitView& view, AgentEffects& effects)
    {
        WeightsState& weights = state.weights;
        RolloutState& rollout = weights.rollout;
        const WantedModel& wanted = *weights.wanted;
        const HostId& self = state.settings.process.host;
        PermitRow row = view.row;
        std::vector<HostId> expired = removeExpired(row, view, state.now);
        const bool sameModel = sameTarget(row.model, wanted.model);
        const bool rollsBack = row.stopped && row.previous && sameTarget(*row.previous, wanted.model);
        std::string refusal;
        if (!sameModel && !rollsBack && row.generation > weights.generation)
            refusal = "newer-text";
        else if (!sameModel && !rollsBack)
            row = beginRollout(row, weights.generation, wanted.model, targetModel(*state.engine.serving));
        if (refusal.empty())
            refusal = permitRefusal(row, wanted.model, self, wanted.maxUnavailable);
        if (refusal.empty() && !rollsBack)
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

    /// Records this host as done once it serves the wanted model; in the first wave only after observationTime, and as
    /// failed if too many requests fail.
    void tryFinishHost(AgentState& state, const PermitView& view, AgentEffects& effects)
    {
        WeightsState& weights = state.weights;
        RolloutState& rollout = weights.rollout;
        const WantedModel& wanted = *weights.wanted;
        const HostId& self = state.settings.process.host;
        PermitRow row = view.row;
        const bool listed = std::any_of(
            row.holders.begin(), row.holders.end(), [&](const PermitHolder& holder) { return holder.host == self; });
        if (!sameTarget(row.model, wanted.model)) {
            const bool rolledBack = row.stopped && row.previous && sameTarget(*row.previous, wanted.model);
            if (rolledBack && listed) {
                removeHolder(row, self);
                return writeRow(state, wanted.service, view, row, PermitWrite::Release, effects);
            }
            if (rolledBack || row.generation >= weights.generation)
                return;
            // A version served without a rollout, e.g. in a new fleet: the first host that serves it writes the row.
            row = beginRollout(row, weights.generation, wanted.model, {});
        } else if (row.stopped) {
            return;
        } else if (containsHost(row.done, self) && !listed) {
            return;
        }
        if (rollout.holding && !row.passed) {
            if (failsMoreThanBefore(state)) {
                failHost(row, self, std::to_string(rollout.failures) + " requests failed, more than before",
                    wanted.maxUnavailable);
                return writeRow(state, wanted.service, view, row, PermitWrite::Fail, effects);
            }
            if (state.now - rollout.servingSince < observationTime)
                return;
        }
        finishHost(row, self, rollout.holding, wanted.maxUnavailable);
        writeRow(state, wanted.service, view, row, PermitWrite::Finish, effects);
    }

    void renewPermit(AgentState& state, const PermitView& view, AgentEffects& effects)
    {
        RolloutState& rollout = state.weights.rollout;
        if (state.now - rollout.renewedAt < renewInterval)
            return;
        PermitRow row = view.row;
        addHolder(row,
            { .host = state.settings.process.host, .incarnation = state.incarnation, .renewal = ++rollout.renewal });
        writeRow(state, rollout.service, view, row, PermitWrite::Renew, effects);
    }

    void releasePermit(AgentState& state, const ServiceId& service, const std::string& reason, AgentEffects& effects)
    {
        const PermitView& view = state.weights.permits[service];
        PermitRow row = view.row;
        removeHolder(row, state.settings.process.host);
        effects.emplace_back(permitLine(state, "permit-given-back", service, reason));
        writeRow(state, service, view, row, PermitWrite::Release, effects);
    }

    /// Renews the permit while the load is in progress; records a failed load, and releases the permit if the engine
    /// stays unreachable.
    void continueHolding(AgentState& state, const PermitView& view, AgentEffects& effects)
    {
        WeightsState& weights = state.weights;
        const WantedModel& wanted = *weights.wanted;
        const std::string failure = loadFailure(state);
        if (!failure.empty() && sameTarget(view.row.model, wanted.model) && !view.row.stopped
            && !containsHost(view.row.failed, state.settings.process.host)) {
            PermitRow row = view.row;
            failHost(row, state.settings.process.host, failure, wanted.maxUnavailable);
            return writeRow(state, wanted.service, view, row, PermitWrite::Fail, effects);
        }
        const bool waitsForEngine = !state.engine.serving && !state.engine.upstream.reachable;
        if (waitsForEngine && state.now - weights.rollout.takenAt > unreachableTimeout)
            return releasePermit(state, wanted.service, "engine-unreachable", effects);
        renewPermit(state, view, effects);
    }

    void updateHolding(AgentState& state, const ServiceId& service, AgentEffects& effects)
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
            // The permit expired before the engine left the old model: the old model stays in service.
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
    // An engine that restarts on the old model does not join a first wave that is still under observation.
    const PermitRow& row = found->second.row;
    const bool reloads = state.engine.target && state.engine.target->service == wanted.service
        && state.engine.phase != EnginePhase::Failed;
    const bool firstWaveOpen
        = sameTarget(row.model, wanted.model) && !row.passed && (!row.holders.empty() || !row.done.empty());
    if (reloads && firstWaveOpen)
        return {};
    return "serves-nothing";
}

void tickRollout(AgentState& state, AgentEffects& effects)
{
    WeightsState& weights = state.weights;
    RolloutState& rollout = weights.rollout;
    trackServingModel(state);
    // The permit of a service that was removed from the configuration is left to expire.
    if (rollout.holding && !findEngineService(*state.config.config, rollout.service))
        rollout.holding = false;
    if (rollout.waiting || state.now < rollout.nextStore)
        return;
    if (rollout.holding && (!weights.wanted || weights.wanted->service != rollout.service))
        return releasePermit(state, rollout.service, "moved", effects);
    if (!weights.wanted)
        return;
    const WantedModel& wanted = *weights.wanted;
    const PermitView& view = weights.permits[wanted.service];
    if (!view.known) {
        rollout.nextStore = state.now + minWait;
        return readRow(state, wanted.service, effects);
    }
    const std::uint64_t operation = rollout.operation;
    if (servesWanted(state))
        tryFinishHost(state, view, effects);
    else if (rollout.holding)
        continueHolding(state, view, effects);
    else if (hasWantedWeights(state) && state.engine.serving && state.engine.serving->service == wanted.service)
        tryTakePermit(state, view, effects);
    if (rollout.operation != operation)
        return;
    // Nothing to do: the row is still read at intervals, since another host may stop the rollout.
    const Milliseconds interval = waitInterval(state) * (rollout.holding ? 1 : idleReadFactor);
    if (state.now - view.readAt >= interval) {
        rollout.nextStore = state.now + minWait;
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
        // A write may have taken effect, so the row is read before any other operation.
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
        updateHolding(state, service, effects);
    else if (rollout.holding && rollout.service == service)
        updateHolding(state, service, effects);
    if (answer.status == StoreStatus::Conflict)
        rollout.nextStore = state.now + waitInterval(state) / 4;
    else if (write != PermitWrite::None)
        logWrite(state, service, write, effects);
}

} // namespace hickory

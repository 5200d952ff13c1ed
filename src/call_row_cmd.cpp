#include "call_row_cmd.h"

#include "call_row_func.h"
#include "slot_cmd.h"
#include "slot_dispatch_cmd.h"
#include "slot_func.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace hickory {

namespace {

    /// Rows that may be in recording or release before further calls of this kind are refused.
    /// With answers of at most 64 KiB this bounds their memory to 8 MiB.
    constexpr std::size_t maxOpenRows = 128;

    /// Writes of rows to be released that may be awaited at once, so that a store that comes back is not flooded.
    constexpr std::size_t maxReleaseWrites = 4;

    /// An operation without an answer counts as unavailable after this. The platform client's own limit is 2 s.
    constexpr Milliseconds operationTimeout { 5000 };

    /// After an operation without an answer only one call row is tried at a time for this long.
    constexpr Milliseconds storeProbeInterval { 5000 };

    /// Writes of the move to `started` before the call is refused.
    constexpr std::uint32_t maxMoveWrites = 3;

    constexpr Milliseconds firstRetry { 100 };
    constexpr Milliseconds longestRetry { 5000 };

    CallRow rowOf(const AgentState& state, const Dispatch& dispatch, CallRowState rowState)
    {
        CallRow row;
        row.state = rowState;
        row.attempt = dispatch.call.key;
        row.incarnation = state.incarnation;
        row.dispatchNumber = dispatch.row.dispatchNumber;
        row.bodyDigest = dispatch.call.bodyDigest;
        return row;
    }

    StoreToken nextOperation(AgentState& state, CallRowOperation& step)
    {
        step.operation = ++state.slots.lastOperation;
        step.sentAt = state.now;
        return { .purpose = StorePurpose::CallRow, .subject = step.key, .number = step.operation };
    }

    void write(AgentState& state, CallRowOperation& step, const CallRow& row, AgentEffects& effects)
    {
        step.reading = false;
        effects.emplace_back(StoreWrite { .token = nextOperation(state, step),
            .key = step.key,
            .ifVersion = step.version,
            .value = encodeCallRow(row),
            .timeToLive = state.settings.callRowTimeToLive });
    }

    void read(AgentState& state, CallRowOperation& step, AgentEffects& effects)
    {
        step.reading = true;
        effects.emplace_back(StoreRead { .token = nextOperation(state, step), .key = step.key });
    }

    void scheduleRetry(const AgentState& state, CallRowOperation& step)
    {
        const std::uint32_t doublings = std::min<std::uint32_t>(step.failures, 6);
        step.retryAt = state.now + std::min(firstRetry * (1 << doublings), longestRetry);
        ++step.failures;
    }

    std::optional<CallRow> decode(const StoreAnswer& answer)
    {
        if (answer.version.value == 0)
            return std::nullopt;
        auto row = decodeCallRow(answer.value);
        if (!row)
            return std::nullopt;
        return std::move(row.value());
    }

    void logRow(const char* event, const Dispatch& dispatch, const char* reason, AgentEffects& effects,
        LogLevel level = LogLevel::Info)
    {
        auto fields = attemptFields(dispatch.call);
        fields.emplace_back("row", dispatch.row.key);
        fields.emplace_back("reason", reason);
        effects.emplace_back(LogLine { .level = level, .event = event, .fields = std::move(fields) });
        effects.emplace_back(
            MetricSample { .name = "call_rows_total", .labels = "event=\"" + std::string(event) + "\"" });
    }

    RowRelease& addRelease(AgentState& state, const Dispatch& dispatch, CallRowState rowState)
    {
        RowRelease release { .row = rowOf(state, dispatch, rowState), .step = dispatch.row };
        if (rowState == CallRowState::Started)
            release.row.incarnation = {};
        release.step.operation = 0;
        release.step.failures = 0;
        release.step.retryAt = state.now;
        return state.slots.releases.emplace_back(std::move(release));
    }

    /// Moves the row of a dispatch that does not run any more; the first answer of the store ends the dispatch.
    void beginRelease(
        AgentState& state, Dispatch& dispatch, DispatchResult result, CallRowState rowState, AgentEffects& effects)
    {
        dispatch.phase = DispatchPhase::Releasing;
        dispatch.result = std::move(result);
        RowRelease& release = addRelease(state, dispatch, rowState);
        write(state, release.step, release.row, effects);
    }

    /// The row cannot be read: the call does not run, and a write that arrives late must not leave it `started`.
    void giveUpMove(AgentState& state, Dispatch& dispatch, AgentEffects& effects)
    {
        logRow("call-row-given-up", dispatch, "store-unavailable", effects, LogLevel::Warning);
        scheduleRetry(state, addRelease(state, dispatch, CallRowState::Cancelled).step);
        endDispatch(state, dispatch.call.key, resultOf(DispatchResultKind::NotRun, "store-unavailable"), effects);
    }

    void retryMove(AgentState& state, Dispatch& dispatch, AgentEffects& effects)
    {
        if (++dispatch.row.failures >= maxMoveWrites || state.now >= dispatch.deadline)
            giveUpMove(state, dispatch, effects);
        else
            write(state, dispatch.row, rowOf(state, dispatch, CallRowState::Started), effects);
    }

    /// The row is `started` by this attempt. The call is not given to the upstream when time or a cancellation
    /// overtook it, e.g. because this process was paused.
    void continueStarted(AgentState& state, Dispatch& dispatch, RowVersion version, AgentEffects& effects)
    {
        dispatch.row.version = version;
        dispatch.row.failures = 0;
        const std::string_view obstacle = startRefusalReason(state, dispatch);
        if (dispatch.abandoned)
            releaseRow(state, dispatch, resultOf(DispatchResultKind::NotRun, "cancelled"), effects);
        else if (!obstacle.empty())
            releaseRow(state, dispatch, resultOf(DispatchResultKind::NotRun, std::string(obstacle)), effects);
        else {
            logRow("call-row-started", dispatch, "moved", effects, LogLevel::Debug);
            startUpstream(state, dispatch, effects);
        }
    }

    /// @return true when the row was moved to `started` by this step. An earlier dispatch of the same attempt may have
    /// moved it too, thus the attempt alone does not tell.
    bool startedBy(const AgentState& state, const CallRow& row, const CallRowOperation& step)
    {
        return row.state == CallRowState::Started && row.incarnation == state.incarnation
            && row.dispatchNumber == step.dispatchNumber;
    }

    /// @return true when the call of a `started` row is between the move and the end of its recording here
    bool inProgressHere(const AgentState& state, const CallRow& row)
    {
        const auto found = state.slots.dispatches.find(row.attempt);
        return found != state.slots.dispatches.end() && found->second.row.dispatchNumber == row.dispatchNumber
            && found->second.phase != DispatchPhase::Releasing;
    }

    /// @return true when the call of a `started` row never ran and the row is about to say so
    bool inRelease(const AgentState& state, const CallRow& row)
    {
        return std::any_of(state.slots.releases.begin(), state.slots.releases.end(), [&](const RowRelease& release) {
            return release.step.dispatchNumber == row.dispatchNumber && release.row.state == CallRowState::Cancelled;
        });
    }

    DispatchResult resultOfRow(const AgentState& state, const Dispatch& dispatch, const CallRow& row)
    {
        if (row.state == CallRowState::Cancelled)
            return resultOf(DispatchResultKind::NotRun, "cancelled");
        if (row.bodyDigest != dispatch.call.bodyDigest)
            return resultOf(DispatchResultKind::KeyConflict, "other-body");
        if (row.state == CallRowState::Done && row.status == 0)
            return resultOf(DispatchResultKind::Failed, "recorded-answer-too-long");
        if (row.state == CallRowState::Done) {
            DispatchResult result = resultOf(DispatchResultKind::RecordedDone, "recorded");
            result.status = row.status;
            return result;
        }
        if (row.incarnation != state.incarnation)
            return resultOf(DispatchResultKind::RecordedUnknown, "started-elsewhere");
        if (inRelease(state, row))
            return resultOf(DispatchResultKind::NotRun, "cancelled");
        if (inProgressHere(state, row))
            return resultOf(DispatchResultKind::RecordedRunning, "running");
        return resultOf(DispatchResultKind::RecordedUnknown, "outcome-unknown");
    }

    /// The row is not at the version that the entry saw.
    void settleMove(AgentState& state, Dispatch& dispatch, const StoreAnswer& answer, AgentEffects& effects)
    {
        if (answer.version.value == 0) {
            endDispatch(state, dispatch.call.key, resultOf(DispatchResultKind::NotRun, "row-changed"), effects);
            return;
        }
        auto row = decode(answer);
        if (!row) {
            logRow("call-row-unreadable", dispatch, "decode-failed", effects, LogLevel::Error);
            endDispatch(
                state, dispatch.call.key, resultOf(DispatchResultKind::RecordedUnknown, "row-unreadable"), effects);
            return;
        }
        if (startedBy(state, *row, dispatch.row)) {
            continueStarted(state, dispatch, answer.version, effects);
            return;
        }
        DispatchResult result = resultOfRow(state, dispatch, *row);
        logRow("call-row-found", dispatch, result.reason.c_str(), effects);
        const bool done = result.kind == DispatchResultKind::RecordedDone;
        endDispatch(state, dispatch.call.key, std::move(result), effects, done ? std::move(row->answer) : "",
            done ? std::move(row->contentType) : "");
    }

    void handleMove(AgentState& state, Dispatch& dispatch, const StoreAnswer& answer, AgentEffects& effects)
    {
        const bool reading = dispatch.row.reading;
        const bool unchanged = answer.version == dispatch.row.version;
        if (answer.status == StoreStatus::Unavailable && reading)
            giveUpMove(state, dispatch, effects);
        else if (answer.status == StoreStatus::Unavailable)
            read(state, dispatch.row, effects);
        else if (!reading && answer.status == StoreStatus::Ok)
            continueStarted(state, dispatch, answer.version, effects);
        else if (reading && unchanged)
            retryMove(state, dispatch, effects);
        else
            settleMove(state, dispatch, answer, effects);
    }

    void writeOutcome(AgentState& state, Dispatch& dispatch, AgentEffects& effects)
    {
        CallRow row = rowOf(state, dispatch, CallRowState::Done);
        row.status = dispatch.answerTooLong ? 0 : dispatch.result.status;
        row.contentType = dispatch.contentType;
        row.answer = dispatch.answer;
        write(state, dispatch.row, row, effects);
    }

    void handleRecording(AgentState& state, Dispatch& dispatch, const StoreAnswer& answer, AgentEffects& effects)
    {
        if (answer.status == StoreStatus::Unavailable) {
            scheduleRetry(state, dispatch.row);
            return;
        }
        if (answer.status != StoreStatus::Ok) {
            if (answer.version.value == 0) {
                // The row expired; the outcome is recorded afresh.
                dispatch.row.version = {};
                writeOutcome(state, dispatch, effects);
                return;
            }
            const auto row = decode(answer);
            if (!row || row->attempt != dispatch.call.key || row->state != CallRowState::Done)
                logRow("call-row-overwritten", dispatch, "unexpected-row", effects, LogLevel::Error);
        }
        logRow("call-row-done", dispatch, "recorded", effects, LogLevel::Debug);
        endDispatch(state, dispatch.call.key, std::move(dispatch.result), effects);
    }

    void handleRelease(AgentState& state, std::size_t index, const StoreAnswer& answer, AgentEffects& effects)
    {
        RowRelease& release = state.slots.releases[index];
        const AttemptKey attempt = release.row.attempt;
        const std::uint64_t dispatchNumber = release.step.dispatchNumber;
        if (answer.status == StoreStatus::Unavailable) {
            scheduleRetry(state, release.step);
        } else {
            const auto row = answer.status == StoreStatus::Conflict ? decode(answer) : std::nullopt;
            if (row && startedBy(state, *row, release.step)) {
                release.step.version = answer.version;
                write(state, release.step, release.row, effects);
                return;
            }
            effects.emplace_back(LogLine { .event = "call-row-released",
                .fields = { { "row", release.step.key }, { "request", std::to_string(attempt.request.value) },
                    { "attempt", std::to_string(attempt.attempt.value) },
                    { "to", release.row.state == CallRowState::Cancelled ? "cancelled" : "unknown" },
                    { "reason", answer.status == StoreStatus::Ok ? "moved" : "superseded" } } });
            state.slots.releases.erase(state.slots.releases.begin() + static_cast<std::ptrdiff_t>(index));
        }
        const auto found = state.slots.dispatches.find(attempt);
        if (found != state.slots.dispatches.end() && found->second.phase == DispatchPhase::Releasing
            && found->second.row.dispatchNumber == dispatchNumber)
            endDispatch(state, attempt, std::move(found->second.result), effects);
    }

    void retryReleases(AgentState& state, AgentEffects& effects)
    {
        auto& releases = state.slots.releases;
        const auto awaited = static_cast<std::size_t>(std::count_if(
            releases.begin(), releases.end(), [](const RowRelease& release) { return release.step.operation != 0; }));
        // While the store is down one row after the other finds out whether it is back.
        const std::size_t most = state.now < state.slots.storeDownUntil ? 1 : maxReleaseWrites;
        std::size_t free = most - std::min(most, awaited);
        for (RowRelease& release : releases) {
            if (free == 0)
                return;
            if (release.step.operation != 0)
                continue;
            if (state.now >= release.step.retryAt) {
                write(state, release.step, release.row, effects);
                --free;
            } else if (most == 1) {
                return;
            }
        }
    }

    void noteStoreHealth(AgentState& state, StoreStatus status)
    {
        state.slots.storeDownUntil
            = status == StoreStatus::Unavailable ? state.now + storeProbeInterval : Milliseconds { 0 };
    }

    /// @return operations whose answer counts as lost
    std::vector<StoreToken> lostOperations(const AgentState& state)
    {
        std::vector<StoreToken> lost;
        const auto collect = [&](const CallRowOperation& step) {
            if (step.operation != 0 && state.now - step.sentAt > operationTimeout)
                lost.push_back({ .purpose = StorePurpose::CallRow, .subject = step.key, .number = step.operation });
        };
        for (const auto& [key, dispatch] : state.slots.dispatches)
            collect(dispatch.row);
        for (const RowRelease& release : state.slots.releases)
            collect(release.step);
        return lost;
    }

} // namespace

void claimRow(AgentState& state, Dispatch& dispatch, AgentEffects& effects)
{
    dispatch.phase = DispatchPhase::ClaimingRow;
    dispatch.row.key = callRowKey(dispatch.call.service, dispatch.call.workspace, dispatch.call.idempotencyKey);
    dispatch.row.version = dispatch.call.rowVersion;
    dispatch.row.dispatchNumber = state.slots.lastOperation + 1;
    write(state, dispatch.row, rowOf(state, dispatch, CallRowState::Started), effects);
}

void recordOutcome(AgentState& state, Dispatch& dispatch, DispatchResult result, std::string answer,
    std::string contentType, AgentEffects& effects)
{
    dispatch.phase = DispatchPhase::Recording;
    dispatch.result = std::move(result);
    dispatch.answer = std::move(answer);
    dispatch.contentType = std::move(contentType);
    writeOutcome(state, dispatch, effects);
}

void releaseRow(AgentState& state, Dispatch& dispatch, DispatchResult result, AgentEffects& effects)
{
    beginRelease(state, dispatch, std::move(result), CallRowState::Cancelled, effects);
}

void disownRow(AgentState& state, Dispatch& dispatch, DispatchResult result, AgentEffects& effects)
{
    beginRelease(state, dispatch, std::move(result), CallRowState::Started, effects);
}

bool callRowsAvailable(const AgentState& state)
{
    const SlotUse use = slotUse(state.slots);
    if (state.now < state.slots.storeDownUntil && use.claimingRows > 0)
        return false;
    return use.recording + state.slots.releases.size() < maxOpenRows;
}

void tickCallRows(AgentState& state, AgentEffects& effects)
{
    for (const StoreToken& token : lostOperations(state)) {
        StoreAnswer answer;
        answer.token = token;
        applyCallRowAnswer(state, answer, effects);
    }
    for (auto& [key, dispatch] : state.slots.dispatches) {
        if (dispatch.phase != DispatchPhase::Recording)
            continue;
        // The entry has given up by now; recording goes on without it.
        if (state.now >= dispatch.deadline)
            answerDispatch(state, dispatch, resultOf(DispatchResultKind::Unknown, "not-recorded"), effects);
        if (dispatch.row.operation == 0 && state.now >= dispatch.row.retryAt)
            writeOutcome(state, dispatch, effects);
    }
    retryReleases(state, effects);
}

void applyCallRowAnswer(AgentState& state, const StoreAnswer& answer, AgentEffects& effects)
{
    noteStoreHealth(state, answer.status);
    SlotState& slots = state.slots;
    const std::uint64_t number = answer.token.number;
    for (auto& [key, dispatch] : slots.dispatches) {
        if (dispatch.row.operation != number)
            continue;
        dispatch.row.operation = 0;
        if (dispatch.phase == DispatchPhase::ClaimingRow)
            handleMove(state, dispatch, answer, effects);
        else if (dispatch.phase == DispatchPhase::Recording)
            handleRecording(state, dispatch, answer, effects);
        scheduleWaiting(state, effects);
        return;
    }
    for (std::size_t index = 0; index < slots.releases.size(); ++index) {
        if (slots.releases[index].step.operation != number)
            continue;
        slots.releases[index].step.operation = 0;
        handleRelease(state, index, answer, effects);
        return;
    }
    // A late answer: the operation was given up and its row has been settled since.
    effects.emplace_back(LogLine { .level = LogLevel::Debug,
        .event = "call-row-answer-dropped",
        .fields = { { "row", answer.token.subject }, { "reason", "not-awaited" } } });
}

} // namespace hickory

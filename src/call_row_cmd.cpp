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

    /// Rows whose final write is outstanding before further non-repeatable calls are refused.
    /// With answers of at most 64 KiB this bounds their memory to 8 MiB.
    constexpr std::size_t maxUnsettledRows = 128;

    /// Concurrent writes of rows to be released, so that a store that recovers is not flooded.
    constexpr std::size_t maxReleaseWrites = 4;

    /// Time after which an operation without an answer counts as unavailable. The platform client's own limit is 2 s.
    constexpr Milliseconds operationTimeout { 5000 };

    /// Time after an unavailable operation during which the store counts as down. One row at a time is then released,
    /// and no further call is accepted while another one is being claimed.
    constexpr Milliseconds storeProbeInterval { 5000 };

    /// Writes of `started` without effect after which the call is refused.
    constexpr std::uint32_t maxClaimWrites = 3;

    /// Delay before the first retry of a store operation; doubled with each further failure.
    constexpr Milliseconds minRetryDelay { 100 };
    /// Upper bound of the retry delay.
    constexpr Milliseconds maxRetryDelay { 5000 };

    CallRow makeRow(const AgentState& state, const Dispatch& dispatch, CallRowState rowState)
    {
        CallRow row;
        row.state = rowState;
        row.attempt = dispatch.call.key;
        row.incarnation = state.incarnation;
        row.dispatchNumber = dispatch.row.dispatchNumber;
        row.requestDigest = dispatch.call.requestDigest;
        return row;
    }

    StoreToken beginOperation(AgentState& state, CallRowOperation& rowOperation)
    {
        rowOperation.operation = ++state.slots.lastOperation;
        rowOperation.sentAt = state.now;
        return { .purpose = StorePurpose::CallRow, .subject = rowOperation.key, .number = rowOperation.operation };
    }

    void writeRow(AgentState& state, CallRowOperation& rowOperation, const CallRow& row, AgentEffects& effects)
    {
        rowOperation.reading = false;
        effects.emplace_back(StoreWrite { .token = beginOperation(state, rowOperation),
            .key = rowOperation.key,
            .ifVersion = rowOperation.version,
            .value = encodeCallRow(row),
            .timeToLive = state.settings.callRowTimeToLive });
    }

    void readRow(AgentState& state, CallRowOperation& rowOperation, AgentEffects& effects)
    {
        rowOperation.reading = true;
        effects.emplace_back(StoreRead { .token = beginOperation(state, rowOperation), .key = rowOperation.key });
    }

    void scheduleRetry(const AgentState& state, CallRowOperation& rowOperation)
    {
        const std::uint32_t doublings = std::min<std::uint32_t>(rowOperation.failures, 6);
        rowOperation.retryAt = state.now + std::min(minRetryDelay * (1 << doublings), maxRetryDelay);
        ++rowOperation.failures;
    }

    std::optional<CallRow> decodeRow(const StoreAnswer& answer)
    {
        if (answer.version.value == 0)
            return std::nullopt;
        auto row = decodeCallRow(answer.value);
        if (!row)
            return std::nullopt;
        return std::move(row.value());
    }

    void logRowEvent(const char* event, const Dispatch& dispatch, const char* reason, AgentEffects& effects,
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
        RowRelease release { .row = makeRow(state, dispatch, rowState), .step = dispatch.row };
        if (rowState == CallRowState::Started)
            release.row.incarnation = {};
        release.step.operation = 0;
        release.step.failures = 0;
        release.step.retryAt = state.now;
        return state.slots.releases.emplace_back(std::move(release));
    }

    /// Starts to update the row of a dispatch that does not run or no longer runs. The dispatch is answered as soon as
    /// the store has answered, even if it was unavailable; tickCallRows() then retries the update.
    void beginRelease(
        AgentState& state, Dispatch& dispatch, DispatchResult result, CallRowState rowState, AgentEffects& effects)
    {
        dispatch.phase = DispatchPhase::Releasing;
        dispatch.result = std::move(result);
        RowRelease& release = addRelease(state, dispatch, rowState);
        writeRow(state, release.step, release.row, effects);
    }

    /// Refuses a call whose row could not be set to `started`: the row cannot be read, too many writes had no effect,
    /// or the deadline has passed. The row is cancelled later, because a write of `started` may still take effect.
    void abandonClaim(AgentState& state, Dispatch& dispatch, AgentEffects& effects)
    {
        logRowEvent("call-row-given-up", dispatch, "store-unavailable", effects, LogLevel::Warning);
        scheduleRetry(state, addRelease(state, dispatch, CallRowState::Cancelled).step);
        endDispatch(state, dispatch.call.key, resultOf(DispatchResultKind::NotRun, "store-unavailable"), effects);
    }

    /// Writes `started` again after a write that did not take effect, or refuses the call after too many of them.
    void retryClaim(AgentState& state, Dispatch& dispatch, AgentEffects& effects)
    {
        if (++dispatch.row.failures >= maxClaimWrites || state.now >= dispatch.deadline)
            abandonClaim(state, dispatch, effects);
        else
            writeRow(state, dispatch.row, makeRow(state, dispatch, CallRowState::Started), effects);
    }

    /// Gives a call to the upstream whose row was set to `started` by this dispatch. Releases the row instead when the
    /// dispatch was cancelled or its deadline passed in the meantime, e.g. because this process was paused.
    void startClaimedCall(AgentState& state, Dispatch& dispatch, RowVersion version, AgentEffects& effects)
    {
        dispatch.row.version = version;
        dispatch.row.failures = 0;
        const std::string_view obstacle = startRefusalReason(state, dispatch);
        if (dispatch.abandoned)
            releaseRow(state, dispatch, resultOf(DispatchResultKind::NotRun, "cancelled"), effects);
        else if (!obstacle.empty())
            releaseRow(state, dispatch, resultOf(DispatchResultKind::NotRun, std::string(obstacle)), effects);
        else {
            logRowEvent("call-row-started", dispatch, "moved", effects, LogLevel::Debug);
            startUpstream(state, dispatch, effects);
        }
    }

    /// @return true when this dispatch set the row to `started`. The attempt alone does not identify the writer,
    /// because an earlier dispatch of the same attempt may have set it.
    bool startedByDispatch(const AgentState& state, const CallRow& row, const CallRowOperation& rowOperation)
    {
        return row.state == CallRowState::Started && row.incarnation == state.incarnation
            && row.dispatchNumber == rowOperation.dispatchNumber;
    }

    /// @return true when the call of a `started` row is running at this agent or its outcome is being recorded
    bool inProgress(const AgentState& state, const CallRow& row)
    {
        const auto found = state.slots.dispatches.find(row.attempt);
        return found != state.slots.dispatches.end() && found->second.row.dispatchNumber == row.dispatchNumber
            && found->second.phase != DispatchPhase::Releasing;
    }

    /// @return true when the call of a `started` row never ran and the row is about to be set to `cancelled`
    bool beingCancelled(const AgentState& state, const CallRow& row)
    {
        return std::any_of(state.slots.releases.begin(), state.slots.releases.end(), [&](const RowRelease& release) {
            return release.step.dispatchNumber == row.dispatchNumber && release.row.state == CallRowState::Cancelled;
        });
    }

    /// @return the answer to a dispatch that found its call recorded in the row
    DispatchResult resultOfRow(const AgentState& state, const Dispatch& dispatch, const CallRow& row)
    {
        if (row.state == CallRowState::Cancelled)
            return resultOf(DispatchResultKind::NotRun, "cancelled");
        if (row.requestDigest != dispatch.call.requestDigest)
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
        if (beingCancelled(state, row))
            return resultOf(DispatchResultKind::NotRun, "cancelled");
        if (inProgress(state, row))
            return resultOf(DispatchResultKind::RecordedRunning, "running");
        return resultOf(DispatchResultKind::RecordedUnknown, "outcome-unknown");
    }

    /// Handles a row whose version differs from the one that the entry read: reports what the row records, or starts
    /// the call when an earlier write of this dispatch took effect although its answer was lost.
    void handleClaimConflict(AgentState& state, Dispatch& dispatch, const StoreAnswer& answer, AgentEffects& effects)
    {
        if (answer.version.value == 0) {
            endDispatch(state, dispatch.call.key, resultOf(DispatchResultKind::NotRun, "row-changed"), effects);
            return;
        }
        auto row = decodeRow(answer);
        if (!row) {
            logRowEvent("call-row-unreadable", dispatch, "decode-failed", effects, LogLevel::Error);
            endDispatch(
                state, dispatch.call.key, resultOf(DispatchResultKind::RecordedUnknown, "row-unreadable"), effects);
            return;
        }
        if (startedByDispatch(state, *row, dispatch.row)) {
            startClaimedCall(state, dispatch, answer.version, effects);
            return;
        }
        DispatchResult result = resultOfRow(state, dispatch, *row);
        logRowEvent("call-row-found", dispatch, result.reason.c_str(), effects);
        const bool done = result.kind == DispatchResultKind::RecordedDone;
        endDispatch(state, dispatch.call.key, std::move(result), effects, done ? std::move(row->answer) : "",
            done ? std::move(row->contentType) : "");
    }

    /// Handles the store's answer to the write of `started`, or to the read that follows a write without an answer.
    void handleClaimAnswer(AgentState& state, Dispatch& dispatch, const StoreAnswer& answer, AgentEffects& effects)
    {
        const bool reading = dispatch.row.reading;
        const bool unchanged = answer.version == dispatch.row.version;
        if (answer.status == StoreStatus::Unavailable && reading)
            abandonClaim(state, dispatch, effects);
        else if (answer.status == StoreStatus::Unavailable)
            readRow(state, dispatch.row, effects);
        else if (!reading && answer.status == StoreStatus::Ok)
            startClaimedCall(state, dispatch, answer.version, effects);
        else if (reading && unchanged)
            retryClaim(state, dispatch, effects);
        else
            handleClaimConflict(state, dispatch, answer, effects);
    }

    void writeOutcome(AgentState& state, Dispatch& dispatch, AgentEffects& effects)
    {
        CallRow row = makeRow(state, dispatch, CallRowState::Done);
        row.status = dispatch.answerTooLong ? 0 : dispatch.result.status;
        row.contentType = dispatch.contentType;
        row.answer = dispatch.answer;
        writeRow(state, dispatch.row, row, effects);
    }

    /// Handles the store's answer to the write of the outcome. Answers the dispatch unless the write must be retried.
    void handleOutcomeAnswer(AgentState& state, Dispatch& dispatch, const StoreAnswer& answer, AgentEffects& effects)
    {
        if (answer.status == StoreStatus::Unavailable) {
            scheduleRetry(state, dispatch.row);
            return;
        }
        if (answer.status != StoreStatus::Ok) {
            if (answer.version.value == 0) {
                // The row has expired: record the outcome in a new row.
                dispatch.row.version = {};
                writeOutcome(state, dispatch, effects);
                return;
            }
            const auto row = decodeRow(answer);
            if (!row || row->attempt != dispatch.call.key || row->state != CallRowState::Done)
                logRowEvent("call-row-overwritten", dispatch, "unexpected-row", effects, LogLevel::Error);
        }
        logRowEvent("call-row-done", dispatch, "recorded", effects, LogLevel::Debug);
        endDispatch(state, dispatch.call.key, std::move(dispatch.result), effects);
    }

    /// Handles the store's answer to the write of a row to be released.
    void handleReleaseAnswer(AgentState& state, std::size_t index, const StoreAnswer& answer, AgentEffects& effects)
    {
        RowRelease& release = state.slots.releases[index];
        const AttemptKey attempt = release.row.attempt;
        const std::uint64_t dispatchNumber = release.step.dispatchNumber;
        if (answer.status == StoreStatus::Unavailable) {
            scheduleRetry(state, release.step);
        } else {
            const auto row = answer.status == StoreStatus::Conflict ? decodeRow(answer) : std::nullopt;
            if (row && startedByDispatch(state, *row, release.step)) {
                release.step.version = answer.version;
                writeRow(state, release.step, release.row, effects);
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

    /// Writes the rows to be released whose retry time has come, up to the limit of concurrent writes.
    void retryReleases(AgentState& state, AgentEffects& effects)
    {
        auto& releases = state.slots.releases;
        const auto awaited = static_cast<std::size_t>(std::count_if(
            releases.begin(), releases.end(), [](const RowRelease& release) { return release.step.operation != 0; }));
        // While the store is down, write one row at a time to probe it.
        const std::size_t maxWrites = state.now < state.slots.storeDownUntil ? 1 : maxReleaseWrites;
        std::size_t freeWrites = maxWrites - std::min(maxWrites, awaited);
        for (RowRelease& release : releases) {
            if (freeWrites == 0)
                return;
            if (release.step.operation != 0)
                continue;
            if (state.now >= release.step.retryAt) {
                writeRow(state, release.step, release.row, effects);
                --freeWrites;
            } else if (maxWrites == 1) {
                return;
            }
        }
    }

    void updateStoreHealth(AgentState& state, StoreStatus status)
    {
        state.slots.storeDownUntil
            = status == StoreStatus::Unavailable ? state.now + storeProbeInterval : Milliseconds { 0 };
    }

    /// @return operations that were not answered within operationTimeout
    std::vector<StoreToken> timedOutOperations(const AgentState& state)
    {
        std::vector<StoreToken> timedOut;
        const auto collect = [&](const CallRowOperation& rowOperation) {
            if (rowOperation.operation != 0 && state.now - rowOperation.sentAt > operationTimeout)
                timedOut.push_back({ .purpose = StorePurpose::CallRow,
                    .subject = rowOperation.key,
                    .number = rowOperation.operation });
        };
        for (const auto& [key, dispatch] : state.slots.dispatches)
            collect(dispatch.row);
        for (const RowRelease& release : state.slots.releases)
            collect(release.step);
        return timedOut;
    }

} // namespace

void claimRow(AgentState& state, Dispatch& dispatch, AgentEffects& effects)
{
    dispatch.phase = DispatchPhase::ClaimingRow;
    dispatch.row.key = callRowKey(dispatch.call.service, dispatch.call.workspace, dispatch.call.idempotencyKey);
    dispatch.row.version = dispatch.call.rowVersion;
    dispatch.row.dispatchNumber = state.slots.lastOperation + 1;
    writeRow(state, dispatch.row, makeRow(state, dispatch, CallRowState::Started), effects);
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

void recordUnknownOutcome(AgentState& state, Dispatch& dispatch, DispatchResult result, AgentEffects& effects)
{
    beginRelease(state, dispatch, std::move(result), CallRowState::Started, effects);
}

bool callRowsAvailable(const AgentState& state)
{
    const SlotUse use = slotUse(state.slots);
    if (state.now < state.slots.storeDownUntil && use.claimingRows > 0)
        return false;
    return use.recording + state.slots.releases.size() < maxUnsettledRows;
}

void tickCallRows(AgentState& state, AgentEffects& effects)
{
    for (const StoreToken& token : timedOutOperations(state)) {
        StoreAnswer answer;
        answer.token = token;
        applyCallRowAnswer(state, answer, effects);
    }
    for (auto& [key, dispatch] : state.slots.dispatches) {
        if (dispatch.phase != DispatchPhase::Recording)
            continue;
        // The entry's deadline has passed: answer it now and go on recording the outcome.
        if (state.now >= dispatch.deadline)
            answerDispatch(state, dispatch, resultOf(DispatchResultKind::Unknown, "not-recorded"), effects);
        if (dispatch.row.operation == 0 && state.now >= dispatch.row.retryAt)
            writeOutcome(state, dispatch, effects);
    }
    retryReleases(state, effects);
}

void applyCallRowAnswer(AgentState& state, const StoreAnswer& answer, AgentEffects& effects)
{
    updateStoreHealth(state, answer.status);
    SlotState& slots = state.slots;
    const std::uint64_t number = answer.token.number;
    for (auto& [key, dispatch] : slots.dispatches) {
        if (dispatch.row.operation != number)
            continue;
        dispatch.row.operation = 0;
        if (dispatch.phase == DispatchPhase::ClaimingRow)
            handleClaimAnswer(state, dispatch, answer, effects);
        else if (dispatch.phase == DispatchPhase::Recording)
            handleOutcomeAnswer(state, dispatch, answer, effects);
        scheduleWaiting(state, effects);
        return;
    }
    for (std::size_t index = 0; index < slots.releases.size(); ++index) {
        if (slots.releases[index].step.operation != number)
            continue;
        slots.releases[index].step.operation = 0;
        handleReleaseAnswer(state, index, answer, effects);
        return;
    }
    // A late answer to an operation that has timed out and was already handled as unavailable.
    effects.emplace_back(LogLine { .level = LogLevel::Debug,
        .event = "call-row-answer-dropped",
        .fields = { { "row", answer.token.subject }, { "reason", "not-awaited" } } });
}

} // namespace hickory

#include "request_row_cmd.h"

#include "call_row_func.h"
#include "request_dispatch_cmd.h"
#include "request_end_cmd.h"
#include "request_log_func.h"
#include "retry_cmd.h"

#include <algorithm>

namespace hickory {

namespace {

    /// Subjects of store tokens; they tell which operation an answer belongs to.
    constexpr const char* readSubject = "read";
    constexpr const char* checkSubject = "check";
    constexpr const char* cancelSubject = "cancel";
    /// Delay before the first retry of an operation on a row; doubled with each further failure.
    constexpr Milliseconds minRowRetryDelay { 50 };
    /// Upper bound of the retry delay.
    constexpr Milliseconds maxRowRetryDelay { 1000 };
    /// Time limit of reading the row, after which a call that was not dispatched is refused.
    constexpr Milliseconds readTimeout { 2000 };
    /// Time limit of resolving a lost attempt. It may end after the caller's deadline.
    constexpr Milliseconds resolveTimeout { 5000 };
    /// Interval of reads of the row while a lost attempt runs on.
    constexpr Milliseconds outcomeCheckInterval { 500 };
    /// Time after which an operation without an answer is repeated.
    constexpr Milliseconds operationTimeout { 2500 };
    /// Lifetime of a cancelled row, the same as the default for recorded answers: far longer than a dispatch can be
    /// delayed, so that the cancelled attempt cannot find the row absent and start.
    constexpr Milliseconds cancelledRowTimeToLive { 86400000 };

    std::string rowKey(const Request& request)
    {
        return callRowKey(request.call.service, request.call.workspace, request.call.idempotencyKey);
    }

    StoreToken rowToken(const Request& request, const char* subject)
    {
        return { .purpose = StorePurpose::CallRow, .subject = subject, .number = request.call.request.value };
    }

    void sendRead(EntryState& state, Request& request, const char* subject, EntryEffects& effects)
    {
        request.rowPending = true;
        setWake(state, request, state.now + operationTimeout);
        effects.emplace_back(StoreRead { .token = rowToken(request, subject), .key = rowKey(request) });
    }

    void sendCancel(EntryState& state, Request& request, EntryEffects& effects)
    {
        request.rowPending = true;
        setWake(state, request, state.now + operationTimeout);
        const CallRow row { .state = CallRowState::Cancelled,
            .attempt
            = { .entry = state.settings.process.host, .request = request.call.request, .attempt = request.attempt },
            .requestDigest = request.call.requestDigest };
        effects.emplace_back(StoreWrite { .token = rowToken(request, cancelSubject),
            .key = rowKey(request),
            .ifVersion = request.rowVersion,
            .value = encodeCallRow(row),
            .timeToLive = cancelledRowTimeToLive });
    }

    void scheduleRowRetry(EntryState& state, Request& request)
    {
        const std::uint32_t doublings = std::min(request.rowFailures++, 5U);
        request.rowPending = false;
        setWake(state, request,
            state.now + std::min(maxRowRetryDelay, minRowRetryDelay * (std::int64_t { 1 } << doublings)));
    }

    void failUnknown(EntryState& state, Request& request, std::string reason, EntryEffects& effects)
    {
        failRequest(state, request,
            { .outcome = Outcome::Unknown, .status = 503, .reason = std::move(reason), .step = "call-row" }, effects);
    }

    /// @return whether the agent process that wrote a row may still be there: it counts as ended once its host refuses
    /// connections or reports another process
    bool mayStarterRun(const EntryState& state, const CallRow& row)
    {
        if (row.incarnation == Incarnation {})
            return false;
        const auto& views = state.requests.views.views;
        return std::any_of(views.begin(), views.end(), [&](const UpstreamView& view) {
            return !view.host.empty() && !view.unreachable && view.status.incarnation == row.incarnation;
        });
    }

    /// @return whether the upstream runs the request's own lost attempt, so that its outcome will be recorded
    bool runsOn(const EntryState& state, const Request& request, const CallRow& row)
    {
        const AttemptKey own {
            .entry = state.settings.process.host, .request = request.call.request, .attempt = request.attempt
        };
        return row.state == CallRowState::Started && row.attempt == own && mayStarterRun(state, row);
    }

    /// Fails a request whose row is `started`: the call is running if the agent that started it is connected, otherwise
    /// its outcome is unknown.
    void failStarted(EntryState& state, Request& request, const CallRow& row, EntryEffects& effects)
    {
        const auto& views = state.requests.views.views;
        const bool starterConnected = std::any_of(views.begin(), views.end(),
            [&](const UpstreamView& view) { return view.connected && view.status.incarnation == row.incarnation; });
        failUnknown(state, request, starterConnected ? "running" : "recorded-unknown", effects);
    }

    /// Queues a request whose row holds the answer, so that an agent fetches it. The dispatch names a row version that
    /// does not exist and thus can never start the call.
    void replayAnswer(EntryState& state, Request& request, EntryEffects& effects)
    {
        if (request.detached) {
            removeRequest(state, request);
            return;
        }
        if (request.replay && ++request.retries > maxAttempts) {
            failUnknown(state, request, "recorded-answer-not-delivered", effects);
            return;
        }
        request.replay = true;
        request.mayHaveRun = true;
        awaitUpstream(state, request, effects);
    }

    /// Handles a row that was written by an earlier attempt or by another request with the same key.
    /// @return false when the row permits a new attempt
    bool reportRecorded(EntryState& state, Request& request, const CallRow& row, EntryEffects& effects)
    {
        if (row.requestDigest != request.call.requestDigest) {
            failRequest(state, request,
                { .outcome = Outcome::NotRun, .status = 409, .reason = "key-conflict", .step = "call-row" }, effects);
            return true;
        }
        if (row.state == CallRowState::Cancelled)
            return false;
        if (row.state == CallRowState::Started)
            failStarted(state, request, row, effects);
        else
            replayAnswer(state, request, effects);
        return true;
    }

    /// Handles the answer to the read that precedes each attempt.
    void handleReadAnswer(EntryState& state, Request& request, const StoreAnswer& answer, EntryEffects& effects)
    {
        if (answer.status == StoreStatus::Unavailable) {
            scheduleRowRetry(state, request);
            return;
        }
        if (answer.status == StoreStatus::Ok) {
            const Result<CallRow> row = decodeCallRow(answer.value);
            if (!row) {
                failUnknown(state, request, "call-row-damaged", effects);
                return;
            }
            if (reportRecorded(state, request, row.value(), effects))
                return;
        }
        request.replay = false;
        request.rowVersion = answer.status == StoreStatus::Absent ? RowVersion {} : answer.version;
        awaitUpstream(state, request, effects);
    }

    /// Retries a request whose dispatched attempt was cancelled in the row and can no longer start.
    void retryAfterCancel(EntryState& state, Request& request, RowVersion version, EntryEffects& effects)
    {
        request.rowVersion = version;
        retryOrFail(state, request,
            { .outcome = Outcome::NotRun, .status = 503, .reason = "attempt-cancelled", .step = "call-row" }, effects);
    }

    /// Handles an answer while the row tells whether a lost attempt has run.
    void handleResolveAnswer(EntryState& state, Request& request, const StoreAnswer& answer, EntryEffects& effects)
    {
        const bool wrote = answer.token.subject == cancelSubject;
        if (answer.status == StoreStatus::Unavailable) {
            // The write may have taken effect: read the row before writing again.
            scheduleRowRetry(state, request);
            return;
        }
        if (wrote && answer.status == StoreStatus::Ok) {
            retryAfterCancel(state, request, answer.version, effects);
            return;
        }
        const RowVersion current = answer.status == StoreStatus::Absent ? RowVersion {} : answer.version;
        if (current == request.rowVersion) {
            sendCancel(state, request, effects);
            return;
        }
        const Result<CallRow> row = decodeCallRow(answer.value);
        if (!row) {
            failUnknown(state, request, "call-row-damaged", effects);
            return;
        }
        if (runsOn(state, request, row.value()) && state.now < request.deadline && !request.detached) {
            request.rowFailures = 0;
            request.rowDeadline = state.now + resolveTimeout;
            setWake(state, request, std::min(request.deadline, state.now + outcomeCheckInterval));
            return;
        }
        // The row no longer has the dispatched version, so the attempt cannot start any more; had it started, the row
        // would be `started` or `done`.
        if (!reportRecorded(state, request, row.value(), effects))
            retryAfterCancel(state, request, current, effects);
    }

} // namespace

void readCallRow(EntryState& state, Request& request, EntryEffects& effects)
{
    request.phase = RequestPhase::ReadingRow;
    request.rowFailures = 0;
    request.rowDeadline = state.now + readTimeout;
    sendRead(state, request, readSubject, effects);
}

void resolveCallRow(EntryState& state, Request& request, EntryEffects& effects)
{
    request.phase = RequestPhase::ResolvingRow;
    request.rowFailures = 0;
    request.rowDeadline = state.now + resolveTimeout;
    sendCancel(state, request, effects);
}

void handleRowAnswer(EntryState& state, Request& request, const StoreAnswer& answer, EntryEffects& effects)
{
    const bool resolving = request.phase == RequestPhase::ResolvingRow;
    const bool expected = resolving ? answer.token.subject != readSubject
                                    : request.phase == RequestPhase::ReadingRow && answer.token.subject == readSubject;
    if (!expected || !request.rowPending)
        return;
    request.rowPending = false;
    if (resolving)
        handleResolveAnswer(state, request, answer, effects);
    else
        handleReadAnswer(state, request, answer, effects);
}

void wakeRowRequest(EntryState& state, Request& request, EntryEffects& effects)
{
    if (request.phase == RequestPhase::ReadingRow) {
        if (state.now >= request.rowDeadline || state.now >= request.deadline)
            failRequest(state, request,
                { .outcome = Outcome::NotRun,
                    .status = 503,
                    .reason = "store-unavailable",
                    .retryAfter = maxRowRetryDelay,
                    .step = "call-row" },
                effects);
        else
            sendRead(state, request, readSubject, effects);
        return;
    }
    if (state.now >= request.rowDeadline)
        failUnknown(state, request, "store-unavailable", effects);
    else
        sendRead(state, request, checkSubject, effects);
}

} // namespace hickory

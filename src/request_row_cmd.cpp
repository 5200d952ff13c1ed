#include "request_row_cmd.h"

#include "call_row_func.h"
#include "request_dispatch_cmd.h"
#include "request_end_cmd.h"
#include "request_log_func.h"
#include "retry_cmd.h"

#include <algorithm>

namespace hickory {

namespace {

    /// Subjects of store tokens: which operation an answer belongs to.
    constexpr const char* readSubject = "read";
    constexpr const char* checkSubject = "check";
    constexpr const char* cancelSubject = "cancel";
    /// Time between operations on a row while the store is unavailable; doubled with each.
    constexpr Milliseconds rowRetryMin { 50 };
    constexpr Milliseconds rowRetryMax { 1000 };
    /// Time in which the store must answer before a call that was never dispatched is refused.
    constexpr Milliseconds readTimeout { 2000 };
    /// Time in which the outcome of a dispatched attempt must be found, also past the caller's deadline.
    constexpr Milliseconds resolveTimeout { 5000 };
    /// An operation without an answer is repeated after this time.
    constexpr Milliseconds answerTimeout { 2500 };
    /// Keeps cancelled rows as long as recorded answers: far longer than any dispatch can be delayed.
    constexpr Milliseconds cancelledRowTimeToLive { 86400000 };

    std::string keyOf(const Request& request)
    {
        return callRowKey(request.call.service, request.call.workspace, request.call.idempotencyKey);
    }

    StoreToken tokenFor(const Request& request, const char* subject)
    {
        return { .purpose = StorePurpose::CallRow, .subject = subject, .number = request.call.request.value };
    }

    void read(EntryState& state, Request& request, const char* subject, EntryEffects& effects)
    {
        request.rowPending = true;
        setWake(state, request, state.now + answerTimeout);
        effects.emplace_back(StoreRead { .token = tokenFor(request, subject), .key = keyOf(request) });
    }

    void cancel(EntryState& state, Request& request, EntryEffects& effects)
    {
        request.rowPending = true;
        setWake(state, request, state.now + answerTimeout);
        const CallRow row { .state = CallRowState::Cancelled,
            .attempt
            = { .entry = state.settings.process.host, .request = request.call.request, .attempt = request.attempt },
            .bodyDigest = request.call.bodyDigest };
        effects.emplace_back(StoreWrite { .token = tokenFor(request, cancelSubject),
            .key = keyOf(request),
            .ifVersion = request.rowVersion,
            .value = encodeCallRow(row),
            .timeToLive = cancelledRowTimeToLive });
    }

    void scheduleRowRetry(EntryState& state, Request& request)
    {
        const std::uint32_t doublings = std::min(request.rowTries++, 5U);
        request.rowPending = false;
        setWake(state, request, state.now + std::min(rowRetryMax, rowRetryMin * (std::int64_t { 1 } << doublings)));
    }

    void failUnknown(EntryState& state, Request& request, std::string reason, EntryEffects& effects)
    {
        failRequest(state, request,
            { .outcome = Outcome::Unknown, .status = 503, .reason = std::move(reason), .step = "call-row" }, effects);
    }

    /// The row says that the call was started.
    void reportStarted(EntryState& state, Request& request, const CallRow& row, EntryEffects& effects)
    {
        const auto& views = state.requests.views.views;
        const bool lives = std::any_of(views.begin(), views.end(),
            [&](const UpstreamView& view) { return view.connected && view.status.incarnation == row.incarnation; });
        failUnknown(state, request, lives ? "running" : "recorded-unknown", effects);
    }

    /// The row holds the answer: an agent fetches it. The dispatch names an absent row, so that it can never start.
    void replayAnswer(EntryState& state, Request& request, EntryEffects& effects)
    {
        if (request.detached) {
            forgetRequest(state, request);
            return;
        }
        if (request.replay && ++request.retries > maxAttempts) {
            failUnknown(state, request, "recorded-answer-not-delivered", effects);
            return;
        }
        request.replay = true;
        request.mayHaveRun = true;
        enqueueRequest(state, request);
        pumpService(state, ServiceId(request.call.service), effects);
    }

    /// Handles a row that shows what became of the call.
    /// @return false when the row permits a new attempt
    bool reportRecorded(EntryState& state, Request& request, const CallRow& row, EntryEffects& effects)
    {
        if (row.bodyDigest != request.call.bodyDigest) {
            failRequest(state, request,
                { .outcome = Outcome::NotRun, .status = 409, .reason = "key-conflict", .step = "call-row" }, effects);
            return true;
        }
        if (row.state == CallRowState::Cancelled)
            return false;
        if (row.state == CallRowState::Started)
            reportStarted(state, request, row, effects);
        else
            replayAnswer(state, request, effects);
        return true;
    }

    /// The first read, or the read before a new attempt.
    void continueRead(EntryState& state, Request& request, const StoreAnswer& answer, EntryEffects& effects)
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
        enqueueRequest(state, request);
        pumpService(state, ServiceId(request.call.service), effects);
    }

    /// The attempt that was dispatched can no longer start.
    void continueCancelled(EntryState& state, Request& request, RowVersion version, EntryEffects& effects)
    {
        request.rowVersion = version;
        retryOrFail(state, request,
            { .outcome = Outcome::NotRun, .status = 503, .reason = "attempt-cancelled", .step = "call-row" }, effects);
    }

    /// An answer about the row of an attempt that ended without one.
    void continueResolution(EntryState& state, Request& request, const StoreAnswer& answer, EntryEffects& effects)
    {
        const bool wrote = answer.token.subject == cancelSubject;
        if (answer.status == StoreStatus::Unavailable) {
            // The write may have taken effect: the row is read before anything else is done.
            scheduleRowRetry(state, request);
            return;
        }
        if (wrote && answer.status == StoreStatus::Ok) {
            continueCancelled(state, request, answer.version, effects);
            return;
        }
        const RowVersion seen = answer.status == StoreStatus::Absent ? RowVersion {} : answer.version;
        if (seen == request.rowVersion) {
            cancel(state, request, effects);
            return;
        }
        const Result<CallRow> row = decodeCallRow(answer.value);
        if (!row) {
            failUnknown(state, request, "call-row-damaged", effects);
            return;
        }
        // The row moved on from the dispatched version, so that attempt cannot start any more; if it had, the row
        // would be `started` or `done`.
        if (!reportRecorded(state, request, row.value(), effects))
            continueCancelled(state, request, seen, effects);
    }

} // namespace

void readCallRow(EntryState& state, Request& request, EntryEffects& effects)
{
    request.phase = RequestPhase::ReadingRow;
    request.rowTries = 0;
    request.resolveBy = state.now + readTimeout;
    read(state, request, readSubject, effects);
}

void resolveCallRow(EntryState& state, Request& request, EntryEffects& effects)
{
    request.phase = RequestPhase::ResolvingRow;
    request.rowTries = 0;
    request.resolveBy = state.now + resolveTimeout;
    cancel(state, request, effects);
}

void continueWithRow(EntryState& state, Request& request, const StoreAnswer& answer, EntryEffects& effects)
{
    const bool resolving = request.phase == RequestPhase::ResolvingRow;
    const bool expected = resolving ? answer.token.subject != readSubject
                                    : request.phase == RequestPhase::ReadingRow && answer.token.subject == readSubject;
    if (!expected || !request.rowPending)
        return;
    request.rowPending = false;
    if (resolving)
        continueResolution(state, request, answer, effects);
    else
        continueRead(state, request, answer, effects);
}

void wakeRowRequest(EntryState& state, Request& request, EntryEffects& effects)
{
    if (request.phase == RequestPhase::ReadingRow) {
        if (state.now >= request.resolveBy || state.now >= request.deadline)
            failRequest(state, request,
                { .outcome = Outcome::NotRun,
                    .status = 503,
                    .reason = "store-unavailable",
                    .retryAfter = rowRetryMax,
                    .step = "call-row" },
                effects);
        else
            read(state, request, readSubject, effects);
        return;
    }
    if (state.now >= request.resolveBy)
        failUnknown(state, request, "store-unavailable", effects);
    else
        read(state, request, checkSubject, effects);
}

} // namespace hickory

#include "control_apply_cmd.h"

#include "config_func.h"
#include "config_record_func.h"
#include "control_spread_cmd.h"
#include "digest_func.h"
#include "operator_json_func.h"
#include "table/control_limits.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace hickory {

namespace {

    constexpr std::uint16_t statusBadRequest = 400;
    constexpr std::uint16_t statusConflict = 409;
    constexpr std::uint16_t statusServiceUnavailable = 503;
    constexpr std::uint16_t statusGatewayTimeout = 504;

    /// Names of the ApplyStep values in store tokens and log lines, in the order of the enumerators.
    constexpr std::array<const char*, 5> stepNames { "read-current", "write-history", "write-current", "settle",
        "read-rival" };

    const char* stepName(ApplyStep step) { return stepNames.at(static_cast<std::size_t>(step)); }

    bool isChangeId(const std::string& text)
    {
        return !text.empty() && text.size() <= maxChangeIdBytes
            && std::all_of(text.begin(), text.end(), [](char letter) { return letter > ' ' && letter <= '~'; });
    }

    LogLine decisionLine(const PendingApply& apply, const std::string& result, const std::string& reason)
    {
        return { .event = "config-apply",
            .fields = { { "change_id", apply.proposed.changeId.value },
                { "generation", std::to_string(apply.proposed.generation.value) }, { "result", result },
                { "step", stepName(apply.step) }, { "reason", reason } } };
    }

    /// Answers the operator and removes the pending apply.
    void finish(EntryState& state, std::uint64_t operation, std::uint16_t status, const nlohmann::json& body,
        const std::string& reason, EntryEffects& effects)
    {
        const auto found = state.control.applies.find(operation);
        effects.emplace_back(decisionLine(found->second, body.value("error", std::string("accepted")), reason));
        effects.emplace_back(OperatorAnswer { .call = found->second.call, .status = status, .body = body.dump() });
        state.control.applies.erase(found);
    }

    void finishAccepted(EntryState& state, std::uint64_t operation, const std::string& reason, EntryEffects& effects)
    {
        const ConfigRecord& record = state.control.applies.at(operation).proposed;
        const nlohmann::json body { { "accepted", true }, { "generation", record.generation.value },
            { "change_id", record.changeId.value }, { "digest", record.digest } };
        finish(state, operation, 200, body, reason, effects);
    }

    void finishConflict(EntryState& state, std::uint64_t operation, const ConfigRecord& conflicting, Generation current,
        EntryEffects& effects)
    {
        const PendingApply& apply = state.control.applies.at(operation);
        const std::uint64_t base = apply.proposed.generation.value - 1;
        const bool reused = conflicting.changeId == apply.proposed.changeId;
        const std::string detail = reused
            ? "this change id was already accepted with another configuration or generation"
            : conflicting.generation.value <= base ? "generation " + std::to_string(base)
                + " was never accepted; the newest is " + std::to_string(current.value)
                                                   : "change " + conflicting.changeId.value
                + " was accepted as generation " + std::to_string(conflicting.generation.value);
        const nlohmann::json body { { "error", "conflict" }, { "accepted", false }, { "generation", current.value },
            { "change_id", conflicting.changeId.value }, { "detail", detail } };
        finish(state, operation, statusConflict, body, detail, effects);
    }

    /// Ends an apply whose result the store did not report: with "unavailable" if no compare-and-set was sent, so that
    /// nothing has changed, otherwise with "unknown".
    void finishUnresolved(EntryState& state, std::uint64_t operation, const std::string& detail, EntryEffects& effects)
    {
        if (state.control.applies.at(operation).writeSent) {
            const nlohmann::json body { { "error", "unknown" },
                { "detail", detail + "; the change may have been accepted: check the history for its change id" } };
            finish(state, operation, statusGatewayTimeout, body, detail, effects);
            return;
        }
        const nlohmann::json body { { "error", "unavailable" }, { "accepted", false },
            { "detail", detail + "; nothing has changed" } };
        finish(state, operation, statusServiceUnavailable, body, detail, effects);
    }

    StoreToken tokenOf(std::uint64_t operation, const PendingApply& apply)
    {
        const bool history = apply.step == ApplyStep::WriteHistory || apply.step == ApplyStep::ReadConflicting;
        return { .purpose = history ? StorePurpose::ConfigHistory : StorePurpose::ConfigWrite,
            .subject = stepName(apply.step),
            .number = operation };
    }

    /// Enters a step and sends its store operation.
    void startStep(EntryState& state, std::uint64_t operation, ApplyStep step, EntryEffects& effects)
    {
        PendingApply& apply = state.control.applies.at(operation);
        apply.step = step;
        apply.retryPending = false;
        const StoreToken token = tokenOf(operation, apply);
        switch (step) {
        case ApplyStep::ReadCurrent:
        case ApplyStep::ConfirmWrite:
            effects.emplace_back(StoreRead { .token = token, .key = currentConfigKey });
            break;
        case ApplyStep::WriteHistory:
            effects.emplace_back(StoreWrite {
                .token = token, .key = historyKey(apply.lastRead.generation), .value = recordToJson(apply.lastRead) });
            break;
        case ApplyStep::WriteCurrent:
            if (!apply.writeSent)
                apply.deadline = state.now + confirmTimeout;
            apply.writeSent = true;
            effects.emplace_back(StoreWrite { .token = token,
                .key = currentConfigKey,
                .ifVersion = apply.rowVersion,
                .value = recordToJson(apply.proposed) });
            break;
        case ApplyStep::ReadConflicting:
            effects.emplace_back(StoreRead { .token = token, .key = historyKey(apply.proposed.generation) });
            break;
        }
    }

    /// Adopts the committed change and tells the operator that it was accepted.
    /// @return true when the active configuration changed
    bool adoptAndFinish(EntryState& state, std::uint64_t operation, const std::string& reason, EntryEffects& effects)
    {
        const ConfigRecord record = state.control.applies.at(operation).proposed;
        const bool changed = adoptAndPropagate(state, record, {}, "operator", effects);
        finishAccepted(state, operation, reason, effects);
        return changed;
    }

    /// @return true when the record is the change that the apply proposes
    bool isProposed(const PendingApply& apply, const ConfigRecord& record)
    {
        return record.generation == apply.proposed.generation && record.changeId == apply.proposed.changeId
            && record.digest == apply.proposed.digest;
    }

    /// Determines the outcome of a change from a `config/current` that does not hold its base generation.
    /// @return true when the active configuration changed
    bool compareWithRow(EntryState& state, std::uint64_t operation, const ConfigRecord& row, EntryEffects& effects)
    {
        PendingApply& apply = state.control.applies.at(operation);
        apply.lastRead = row;
        if (isProposed(apply, row))
            return adoptAndFinish(state, operation, "config/current holds this change", effects);
        const bool changed = adoptAndPropagate(state, row, {}, "store", effects);
        // The change may have been committed and then replaced by later ones; the history row of its generation tells.
        if (row.generation > apply.proposed.generation)
            startStep(state, operation, ApplyStep::ReadConflicting, effects);
        else
            finishConflict(state, operation, row, row.generation, effects);
        return changed;
    }

    bool applyRead(EntryState& state, std::uint64_t operation, const StoreAnswer& answer, EntryEffects& effects)
    {
        PendingApply& apply = state.control.applies.at(operation);
        ConfigRecord row;
        if (answer.status == StoreStatus::Ok) {
            Result<ConfigRecord> record = recordFromJson(answer.value);
            if (!record) {
                finishUnresolved(state, operation, record.error().text(), effects);
                return false;
            }
            row = std::move(record.value());
        }
        if (row.generation < state.config.record.generation) {
            // The table service is transactional, so it never returns older data unless the store was restored from a
            // backup or replaced. The active configuration stays.
            finishUnresolved(state, operation,
                "the store holds generation " + std::to_string(row.generation.value) + ", but "
                    + std::to_string(state.config.record.generation.value) + " is in force",
                effects);
            return false;
        }
        if (row.generation.value + 1 != apply.proposed.generation.value)
            return compareWithRow(state, operation, row, effects);
        apply.lastRead = row;
        apply.rowVersion = answer.version;
        const bool changed = adoptAndPropagate(state, row, {}, "store", effects);
        // After a lost answer the same compare-and-set is sent again: at most one of the two can find the expected row
        // version.
        const bool historyNeeded = !apply.writeSent && row.generation.value > 0;
        startStep(state, operation, historyNeeded ? ApplyStep::WriteHistory : ApplyStep::WriteCurrent, effects);
        return changed;
    }

    /// Schedules the repetition of a step whose answer was lost. Reads and the write of the history row are idempotent.
    /// Before the compare-and-set, prepareTimeout limits the retries, so that the operator soon learns that the store
    /// is down.
    void scheduleRetry(EntryState& state, std::uint64_t operation, ApplyStep step, EntryEffects& effects)
    {
        PendingApply& apply = state.control.applies.at(operation);
        apply.step = step;
        apply.retryPending = true;
        apply.retryAt = state.now + storeRetryInterval;
    }

    bool applyCurrentWritten(
        EntryState& state, std::uint64_t operation, const StoreAnswer& answer, EntryEffects& effects)
    {
        if (answer.status == StoreStatus::Ok)
            return adoptAndFinish(state, operation, "compare-and-set succeeded", effects);
        const Result<ConfigRecord> row = recordFromJson(answer.value);
        if (answer.status == StoreStatus::Conflict && row)
            return compareWithRow(state, operation, row.value(), effects);
        // The answer is lost, or a conflict came without a valid row. The first read is sent at once, later ones after
        // storeRetryInterval: a store that rejects writes may still answer reads, and the two would alternate in a
        // busy loop.
        PendingApply& apply = state.control.applies.at(operation);
        if (apply.unconfirmedWrites++ == 0)
            startStep(state, operation, ApplyStep::ConfirmWrite, effects);
        else
            scheduleRetry(state, operation, ApplyStep::ConfirmWrite, effects);
        return false;
    }

    void applyConflictingRead(
        EntryState& state, std::uint64_t operation, const StoreAnswer& answer, EntryEffects& effects)
    {
        const PendingApply& apply = state.control.applies.at(operation);
        const Result<ConfigRecord> conflicting = recordFromJson(answer.value);
        if (answer.status == StoreStatus::Ok && conflicting && isProposed(apply, conflicting.value()))
            finishAccepted(state, operation, "the history row holds this change; later changes followed", effects);
        else if (answer.status == StoreStatus::Ok && conflicting)
            finishConflict(state, operation, conflicting.value(), apply.lastRead.generation, effects);
        else
            finishUnresolved(state, operation, "the history row cannot be read", effects);
    }

} // namespace

void startApply(EntryState& state, const OperatorCall& call, EntryEffects& effects)
{
    const auto reject = [&](std::uint16_t status, const std::string& error, const std::string& detail) {
        effects.emplace_back(OperatorAnswer { .call = call.call, .status = status, .body = errorJson(error, detail) });
    };
    const Result<Config> config = parseConfig(call.body);
    if (!config)
        return reject(statusBadRequest, "invalid-config", config.error().detail);
    if (!isChangeId(call.changeId.value))
        return reject(statusBadRequest, "invalid-change-id", "expected 1 to 128 printable characters without spaces");
    if (state.control.applies.size() >= maxPendingApplies)
        return reject(statusServiceUnavailable, "unavailable", "too many changes are in progress; nothing has changed");
    const std::uint64_t operation = ++state.control.lastOperation;
    state.control.applies[operation] = { .call = call.call,
        .proposed = { .generation = { call.generation.value + 1 },
            .digest = digestHex(call.body),
            .changeId = call.changeId,
            .text = call.body },
        .deadline = state.now + prepareTimeout };
    startStep(state, operation, ApplyStep::ReadCurrent, effects);
}

bool advanceApply(EntryState& state, const StoreAnswer& answer, EntryEffects& effects)
{
    const std::uint64_t operation = answer.token.number;
    const auto found = state.control.applies.find(operation);
    if (found == state.control.applies.end() || answer.token.subject != stepName(found->second.step))
        return false;
    const bool read = found->second.step != ApplyStep::WriteCurrent;
    if (read && answer.status == StoreStatus::Unavailable) {
        scheduleRetry(state, operation, found->second.step, effects);
        return false;
    }
    switch (found->second.step) {
    case ApplyStep::ReadCurrent:
    case ApplyStep::ConfirmWrite:
        return applyRead(state, operation, answer, effects);
    case ApplyStep::WriteHistory:
        // A conflict means that the history row already exists.
        startStep(state, operation, ApplyStep::WriteCurrent, effects);
        return false;
    case ApplyStep::WriteCurrent:
        return applyCurrentWritten(state, operation, answer, effects);
    case ApplyStep::ReadConflicting:
        applyConflictingRead(state, operation, answer, effects);
    }
    return false;
}

void completeMatchingApplies(EntryState& state, const ConfigRecord& record, EntryEffects& effects)
{
    std::vector<std::uint64_t> confirmed;
    for (const auto& [operation, apply] : state.control.applies)
        if (apply.writeSent && isProposed(apply, record))
            confirmed.push_back(operation);
    for (const std::uint64_t operation : confirmed)
        finishAccepted(state, operation, "a peer or the store holds this change", effects);
}

void tickApplies(EntryState& state, EntryEffects& effects)
{
    std::vector<std::uint64_t> operations;
    for (const auto& [operation, apply] : state.control.applies)
        if (apply.retryPending)
            operations.push_back(operation);
    for (const std::uint64_t operation : operations) {
        PendingApply& apply = state.control.applies.at(operation);
        if (state.now >= apply.deadline)
            finishUnresolved(state, operation, "the store does not answer", effects);
        else if (state.now >= apply.retryAt)
            startStep(state, operation, apply.step, effects);
    }
}

} // namespace hickory

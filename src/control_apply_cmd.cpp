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

    constexpr std::uint16_t statusInvalid = 400;
    constexpr std::uint16_t statusConflict = 409;
    constexpr std::uint16_t statusUnavailable = 503;
    constexpr std::uint16_t statusUnknown = 504;

    /// Names of ApplyStep values in store tokens and log lines, in their order.
    constexpr std::array<const char*, 5> stepNames { "read-current", "write-history", "write-current", "settle",
        "read-rival" };

    const char* stepName(ApplyStep step) { return stepNames.at(static_cast<std::size_t>(step)); }

    bool isChangeId(const std::string& text)
    {
        return !text.empty() && text.size() <= maxChangeIdBytes
            && std::all_of(text.begin(), text.end(), [](char letter) { return letter > ' ' && letter <= '~'; });
    }

    LogLine decision(const PendingApply& apply, const std::string& result, const std::string& reason)
    {
        return { .event = "config-apply",
            .fields = { { "change_id", apply.proposed.changeId.value },
                { "generation", std::to_string(apply.proposed.generation.value) }, { "result", result },
                { "step", stepName(apply.step) }, { "reason", reason } } };
    }

    /// Ends an acceptance with an answer to the operator.
    void finish(EntryState& state, std::uint64_t operation, std::uint16_t status, const nlohmann::json& body,
        const std::string& reason, EntryEffects& effects)
    {
        const auto found = state.control.applies.find(operation);
        effects.emplace_back(decision(found->second, body.value("error", std::string("accepted")), reason));
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
        const std::string detail = reused ? "this change id was accepted before with another text or generation"
            : conflicting.generation.value <= base ? "generation " + std::to_string(base)
                + " was never accepted; the newest is " + std::to_string(current.value)
                                                   : "change " + conflicting.changeId.value
                + " was accepted as generation " + std::to_string(conflicting.generation.value);
        const nlohmann::json body { { "error", "conflict" }, { "accepted", false }, { "generation", current.value },
            { "change_id", conflicting.changeId.value }, { "detail", detail } };
        finish(state, operation, statusConflict, body, detail, effects);
    }

    /// Ends an acceptance for want of the store: "unavailable" when nothing was written, otherwise "unknown".
    void finishWithoutStore(
        EntryState& state, std::uint64_t operation, const std::string& detail, EntryEffects& effects)
    {
        if (state.control.applies.at(operation).written) {
            const nlohmann::json body { { "error", "unknown" },
                { "detail", detail + "; the change may have been accepted: look for its change id in the history" } };
            finish(state, operation, statusUnknown, body, detail, effects);
            return;
        }
        const nlohmann::json body { { "error", "unavailable" }, { "accepted", false },
            { "detail", detail + "; nothing has changed" } };
        finish(state, operation, statusUnavailable, body, detail, effects);
    }

    StoreToken tokenOf(std::uint64_t operation, const PendingApply& apply)
    {
        const bool history = apply.step == ApplyStep::WriteHistory || apply.step == ApplyStep::ReadConflicting;
        return { .purpose = history ? StorePurpose::ConfigHistory : StorePurpose::ConfigWrite,
            .subject = stepName(apply.step),
            .number = operation };
    }

    /// Sends the store operation of a step.
    void enter(EntryState& state, std::uint64_t operation, ApplyStep step, EntryEffects& effects)
    {
        PendingApply& apply = state.control.applies.at(operation);
        apply.step = step;
        apply.waiting = false;
        const StoreToken token = tokenOf(operation, apply);
        switch (step) {
        case ApplyStep::ReadCurrent:
        case ApplyStep::ConfirmWrite:
            effects.emplace_back(StoreRead { .token = token, .key = currentConfigKey });
            break;
        case ApplyStep::WriteHistory:
            effects.emplace_back(StoreWrite {
                .token = token, .key = historyKey(apply.seen.generation), .value = recordToJson(apply.seen) });
            break;
        case ApplyStep::WriteCurrent:
            if (!apply.written)
                apply.deadline = state.now + settleTimeout;
            apply.written = true;
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

    bool accept(EntryState& state, std::uint64_t operation, const std::string& reason, EntryEffects& effects)
    {
        const ConfigRecord record = state.control.applies.at(operation).proposed;
        const bool changed = adoptAndSpread(state, record, {}, "operator", effects);
        finishAccepted(state, operation, reason, effects);
        return changed;
    }

    bool isOwn(const PendingApply& apply, const ConfigRecord& record)
    {
        return record.generation == apply.proposed.generation && record.changeId == apply.proposed.changeId
            && record.digest == apply.proposed.digest;
    }

    /// Decides what a row that is not the base says about the change.
    /// @return true when the configuration in force changed
    bool compareWithRow(EntryState& state, std::uint64_t operation, const ConfigRecord& row, EntryEffects& effects)
    {
        PendingApply& apply = state.control.applies.at(operation);
        apply.seen = row;
        if (isOwn(apply, row))
            return accept(state, operation, "the row holds this change", effects);
        const bool changed = adoptAndSpread(state, row, {}, "store", effects);
        // The change may have been accepted and followed by others; then the history row of its generation has it.
        if (row.generation > apply.proposed.generation)
            enter(state, operation, ApplyStep::ReadConflicting, effects);
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
                finishWithoutStore(state, operation, record.error().text(), effects);
                return false;
            }
            row = std::move(record.value());
        }
        if (row.generation < state.config.record.generation) {
            // The table service is transactional, so this is a restored or replaced store. What is in force stays.
            finishWithoutStore(state, operation,
                "the store holds generation " + std::to_string(row.generation.value) + ", but "
                    + std::to_string(state.config.record.generation.value) + " is in force",
                effects);
            return false;
        }
        if (row.generation.value + 1 != apply.proposed.generation.value)
            return compareWithRow(state, operation, row, effects);
        apply.seen = row;
        apply.rowVersion = answer.version;
        const bool changed = adoptAndSpread(state, row, {}, "store", effects);
        // After a lost answer the same compare-and-set is sent again: one of the two finds another version.
        const bool historyNeeded = !apply.written && row.generation.value > 0;
        enter(state, operation, historyNeeded ? ApplyStep::WriteHistory : ApplyStep::WriteCurrent, effects);
        return changed;
    }

    /// Repeats a step whose answer was lost. Reads and the history row may be repeated freely; before the change is
    /// written they are only repeated for a short time, so that an operator soon learns that the store is down.
    void waitForStore(EntryState& state, std::uint64_t operation, ApplyStep step, EntryEffects& effects)
    {
        PendingApply& apply = state.control.applies.at(operation);
        apply.step = step;
        apply.waiting = true;
        apply.retryAt = state.now + settleInterval;
    }

    bool applyCurrentWritten(
        EntryState& state, std::uint64_t operation, const StoreAnswer& answer, EntryEffects& effects)
    {
        if (answer.status == StoreStatus::Ok)
            return accept(state, operation, "compare-and-set succeeded", effects);
        const Result<ConfigRecord> row = recordFromJson(answer.value);
        if (answer.status == StoreStatus::Conflict && row)
            return compareWithRow(state, operation, row.value(), effects);
        // The answer is lost, or a conflict came without the row. The first read follows at once, further ones are
        // paced, since a store that refuses writes may go on answering reads.
        PendingApply& apply = state.control.applies.at(operation);
        if (apply.unconfirmedWrites++ == 0)
            enter(state, operation, ApplyStep::ConfirmWrite, effects);
        else
            waitForStore(state, operation, ApplyStep::ConfirmWrite, effects);
        return false;
    }

    void applyRivalRead(EntryState& state, std::uint64_t operation, const StoreAnswer& answer, EntryEffects& effects)
    {
        const PendingApply& apply = state.control.applies.at(operation);
        const Result<ConfigRecord> conflicting = recordFromJson(answer.value);
        if (answer.status == StoreStatus::Ok && conflicting && isOwn(apply, conflicting.value()))
            finishAccepted(state, operation, "the history row holds this change; newer ones followed", effects);
        else if (answer.status == StoreStatus::Ok && conflicting)
            finishConflict(state, operation, conflicting.value(), apply.seen.generation, effects);
        else
            finishWithoutStore(state, operation, "the history row cannot be read", effects);
    }

} // namespace

void startApply(EntryState& state, const OperatorCall& call, EntryEffects& effects)
{
    const auto refuse = [&](std::uint16_t status, const std::string& error, const std::string& detail) {
        effects.emplace_back(OperatorAnswer { .call = call.call, .status = status, .body = errorJson(error, detail) });
    };
    const Result<Config> config = parseConfig(call.body);
    if (!config)
        return refuse(statusInvalid, "invalid-config", config.error().detail);
    if (!isChangeId(call.changeId.value))
        return refuse(statusInvalid, "invalid-change-id", "expected 1 to 128 printable characters without spaces");
    if (state.control.applies.size() >= maxPendingApplies)
        return refuse(statusUnavailable, "unavailable", "too many changes are being accepted; nothing has changed");
    const std::uint64_t operation = ++state.control.lastOperation;
    state.control.applies[operation] = { .call = call.call,
        .proposed = { .generation = { call.generation.value + 1 },
            .digest = digestHex(call.body),
            .changeId = call.changeId,
            .text = call.body },
        .deadline = state.now + beginTimeout };
    enter(state, operation, ApplyStep::ReadCurrent, effects);
}

bool applyAcceptanceAnswer(EntryState& state, const StoreAnswer& answer, EntryEffects& effects)
{
    const std::uint64_t operation = answer.token.number;
    const auto found = state.control.applies.find(operation);
    if (found == state.control.applies.end() || answer.token.subject != stepName(found->second.step))
        return false;
    const bool read = found->second.step != ApplyStep::WriteCurrent;
    if (read && answer.status == StoreStatus::Unavailable) {
        waitForStore(state, operation, found->second.step, effects);
        return false;
    }
    switch (found->second.step) {
    case ApplyStep::ReadCurrent:
    case ApplyStep::ConfirmWrite:
        return applyRead(state, operation, answer, effects);
    case ApplyStep::WriteHistory:
        // A conflict means that the row exists already.
        enter(state, operation, ApplyStep::WriteCurrent, effects);
        return false;
    case ApplyStep::WriteCurrent:
        return applyCurrentWritten(state, operation, answer, effects);
    case ApplyStep::ReadConflicting:
        applyRivalRead(state, operation, answer, effects);
    }
    return false;
}

void resolveAppliesByRecord(EntryState& state, const ConfigRecord& record, EntryEffects& effects)
{
    std::vector<std::uint64_t> settled;
    for (const auto& [operation, apply] : state.control.applies)
        if (apply.written && isOwn(apply, record))
            settled.push_back(operation);
    for (const std::uint64_t operation : settled)
        finishAccepted(state, operation, "a peer or the store holds this change", effects);
}

void tickApplies(EntryState& state, EntryEffects& effects)
{
    std::vector<std::uint64_t> operations;
    for (const auto& [operation, apply] : state.control.applies)
        if (apply.waiting)
            operations.push_back(operation);
    for (const std::uint64_t operation : operations) {
        PendingApply& apply = state.control.applies.at(operation);
        if (state.now >= apply.deadline)
            finishWithoutStore(state, operation, "the store does not answer", effects);
        else if (state.now >= apply.retryAt)
            enter(state, operation, apply.step, effects);
    }
}

} // namespace hickory

#include "operator_cmd.h"

#include "config_func.h"
#include "config_record_func.h"
#include "control_cmd.h"
#include "member_func.h"
#include "operator_json_func.h"
#include "placement_cmd.h"
#include "request_cmd.h"
#include "table/control_limits.h"

#include <algorithm>

namespace hickory {

namespace {

    constexpr std::uint16_t statusOk = 200;
    constexpr std::uint16_t statusInvalid = 400;
    constexpr std::uint16_t statusNotFound = 404;
    constexpr std::uint16_t statusUnavailable = 503;

    /// Token subject of a history row read for a ShowConfig call.
    constexpr const char* showSubject = "show";
    /// Token subject of a history row read for a History call.
    constexpr const char* historySubject = "history";

    void answer(const OperatorCall& call, std::uint16_t status, std::string body, EntryEffects& effects)
    {
        effects.emplace_back(OperatorAnswer { .call = call.call, .status = status, .body = std::move(body) });
    }

    void answerCheck(const OperatorCall& call, EntryEffects& effects)
    {
        const Result<Config> config = parseConfig(call.body);
        if (config)
            answer(call, statusOk, checkJson(config.value()), effects);
        else
            answer(call, statusInvalid, errorJson("invalid-config", config.error().detail), effects);
    }

    void answerDiff(const EntryState& state, const OperatorCall& call, EntryEffects& effects)
    {
        const Result<Config> config = parseConfig(call.body);
        if (!config)
            return answer(call, statusInvalid, errorJson("invalid-config", config.error().detail), effects);
        const Config none;
        const Config& before = state.config.config ? *state.config.config : none;
        answer(call, statusOk, diffJson(state.config.record.generation, diffConfig(before, config.value())), effects);
    }

    void startShow(EntryState& state, const OperatorCall& call, EntryEffects& effects)
    {
        const Generation current = state.config.record.generation;
        const Generation wanted = call.generation.value == 0 ? current : call.generation;
        if (wanted.value == 0)
            return answer(call, statusNotFound, errorJson("not-found", "no configuration has been accepted"), effects);
        if (wanted == current)
            return answer(call, statusOk, showJson(state.config.record), effects);
        if (wanted > current)
            return answer(call, statusNotFound,
                errorJson("not-found", "the newest generation known to this entry is " + std::to_string(current.value)),
                effects);
        const std::uint64_t operation = ++state.control.lastOperation;
        state.control.shows[operation] = { .call = call.call, .generation = wanted };
        effects.emplace_back(StoreRead {
            .token = { .purpose = StorePurpose::ConfigHistory, .subject = showSubject, .number = operation },
            .key = historyKey(wanted) });
    }

    void startHistory(EntryState& state, const OperatorCall& call, EntryEffects& effects)
    {
        const ConfigRecord& current = state.config.record;
        PendingHistory history { .call = call.call };
        const std::uint64_t operation = ++state.control.lastOperation;
        for (std::uint64_t number = current.generation.value; number > 0 && history.entries.size() < historyLength;
             --number) {
            HistoryEntry entry { .generation = { number } };
            if (number == current.generation.value) {
                entry.known = true;
                entry.changeId = current.changeId;
                entry.digest = current.digest;
            } else {
                ++history.outstanding;
                effects.emplace_back(StoreRead {
                    .token = { .purpose = StorePurpose::ConfigHistory, .subject = historySubject, .number = operation },
                    .key = historyKey({ number }) });
            }
            history.entries.push_back(std::move(entry));
        }
        if (history.outstanding == 0)
            return answer(call, statusOk, historyJson(history.entries), effects);
        state.control.histories[operation] = std::move(history);
    }

    void finishStatus(EntryState& state, std::uint64_t operation, EntryEffects& effects)
    {
        PendingStatus& pending = state.control.statuses.at(operation);
        for (const HostId& host : pending.waiting)
            pending.answers.push_back({ .host = host, .reachable = false, .leaving = isLeaving(state.members, host) });
        std::sort(pending.answers.begin(), pending.answers.end(),
            [](const EntryStatus& left, const EntryStatus& right) { return left.host < right.host; });
        effects.emplace_back(OperatorAnswer {
            .call = pending.call, .body = statusJson(state.members, state.settings.process.host, pending.answers) });
        state.control.statuses.erase(operation);
    }

    void startStatus(EntryState& state, const OperatorCall& call, EntryEffects& effects)
    {
        const std::uint64_t operation = ++state.control.lastOperation;
        PendingStatus& pending = state.control.statuses[operation];
        pending = { .call = call.call, .answers = { localEntryStatus(state) }, .deadline = state.now + statusTimeout };
        for (const Member& member : state.members.list.members) {
            // Leaving entries are queried too, since they still hold the reports of their home agents.
            if (member.role != MemberRole::Entry || member.host == state.settings.process.host)
                continue;
            pending.waiting.insert(member.host);
            effects.emplace_back(
                QueryEntryStatus { .peer = member.host, .address = member.address, .query = operation });
        }
        if (pending.waiting.empty())
            finishStatus(state, operation, effects);
    }

    bool applyShowRead(EntryState& state, const StoreAnswer& event, EntryEffects& effects)
    {
        const auto found = state.control.shows.find(event.token.number);
        if (found == state.control.shows.end())
            return false;
        const Result<ConfigRecord> record = recordFromJson(event.value);
        OperatorAnswer reply { .call = found->second.call };
        if (event.status == StoreStatus::Ok && record)
            reply.body = showJson(record.value());
        else if (event.status == StoreStatus::Unavailable) {
            reply.status = statusUnavailable;
            reply.body = errorJson("unavailable", "the store does not answer");
        } else {
            reply.status = statusNotFound;
            reply.body = errorJson(
                "not-found", "generation " + std::to_string(found->second.generation.value) + " is not in the history");
        }
        effects.emplace_back(std::move(reply));
        state.control.shows.erase(found);
        return true;
    }

    bool applyHistoryRead(EntryState& state, const StoreAnswer& event, EntryEffects& effects)
    {
        const auto found = state.control.histories.find(event.token.number);
        if (found == state.control.histories.end())
            return false;
        PendingHistory& history = found->second;
        const Result<ConfigRecord> record = recordFromJson(event.value);
        if (event.status == StoreStatus::Ok && record)
            for (HistoryEntry& entry : history.entries)
                if (entry.generation == record.value().generation)
                    entry = { .generation = entry.generation,
                        .known = true,
                        .changeId = record.value().changeId,
                        .digest = record.value().digest };
        if (--history.outstanding > 0)
            return true;
        effects.emplace_back(OperatorAnswer { .call = history.call, .body = historyJson(history.entries) });
        state.control.histories.erase(found);
        return true;
    }

} // namespace

void startOperatorCall(EntryState& state, const OperatorCall& call, EntryEffects& effects)
{
    const ControlState& control = state.control;
    const bool busy = control.shows.size() + control.histories.size() + control.statuses.size() >= maxPendingCalls;
    switch (call.kind) {
    case OperatorCallKind::CheckConfig:
        return answerCheck(call, effects);
    case OperatorCallKind::DiffConfig:
        return answerDiff(state, call, effects);
    case OperatorCallKind::Upstreams:
        return answer(call, statusOk, upstreamsJson(state), effects);
    case OperatorCallKind::Rollout:
        return answer(call, statusOk, rolloutJson(state), effects);
    case OperatorCallKind::Entries:
        return answer(call, statusOk, entriesJson(state), effects);
    default:
        break;
    }
    if (busy)
        return answer(
            call, statusUnavailable, errorJson("unavailable", "too many operator calls are in progress"), effects);
    if (call.kind == OperatorCallKind::ShowConfig)
        startShow(state, call, effects);
    else if (call.kind == OperatorCallKind::History)
        startHistory(state, call, effects);
    else
        startStatus(state, call, effects);
}

bool applyOperatorRead(EntryState& state, const StoreAnswer& answer, EntryEffects& effects)
{
    if (answer.token.subject == showSubject)
        return applyShowRead(state, answer, effects);
    return answer.token.subject == historySubject && applyHistoryRead(state, answer, effects);
}

void collectEntryStatus(EntryState& state, const EntryStatusReceived& event, EntryEffects& effects)
{
    const auto found = state.control.statuses.find(event.query);
    if (found == state.control.statuses.end() || found->second.waiting.erase(event.status.host) == 0)
        return;
    EntryStatus status = event.status;
    status.leaving = status.leaving || isLeaving(state.members, status.host);
    found->second.answers.push_back(std::move(status));
    if (found->second.waiting.empty())
        finishStatus(state, event.query, effects);
}

void tickOperatorCalls(EntryState& state, EntryEffects& effects)
{
    std::vector<std::uint64_t> expired;
    for (const auto& [operation, pending] : state.control.statuses)
        if (state.now >= pending.deadline)
            expired.push_back(operation);
    for (const std::uint64_t operation : expired)
        finishStatus(state, operation, effects);
}

} // namespace hickory

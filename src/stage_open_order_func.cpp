#include "stage_open_order_func.h"

#include "stage_reduce_func.h"
#include "table/stage_limits.h"

#include <algorithm>

namespace hickory {

namespace {

    OrderOutcome settle(StageState& state, OrderOutcome outcome)
    {
        state.openOrder.reset();
        state.formerStaging = FormerStaging::Settled;
        return outcome;
    }

} // namespace

OrderAnswer readOrderAnswer(const LoadOrderAnswered& event)
{
    if (!event.sent)
        return OrderAnswer::Refused;
    switch (event.status) {
    case 200: // in effect already
    case 202: // accepted
        return OrderAnswer::Accepted;
    case 400: // no such order
    case 409: // another state or count than the order expects
    case 412: // an outdated fencing number
    case 421: // another engine
        return OrderAnswer::Refused;
    default:
        return OrderAnswer::Missing;
    }
}

void openOrder(StageState& state, WeightsVersion version, const EngineReport& confirmed)
{
    const bool repeated = isOpenFor(state, version);
    state.openOrder = OpenOrder { .version = version,
        .expectedOrders = confirmed.orders,
        .processStartedAt = confirmed.processStartedAt,
        .repeated = repeated };
}

OrderOutcome settleByAnswer(StageState& state, const LoadOrderAnswered& event, Milliseconds now)
{
    if (!isOpenFor(state, event.version))
        return OrderOutcome::Void;
    const OrderAnswer answer = readOrderAnswer(event);
    if (answer == OrderAnswer::Accepted)
        return settle(state, OrderOutcome::Accepted);
    if (answer == OrderAnswer::Refused && !state.openOrder->repeated)
        return settle(state, OrderOutcome::Void);
    state.openOrder->unansweredSince = now;
    return OrderOutcome::Open;
}

OrderOutcome settleByReport(StageState& state, const EngineReportRead& event)
{
    if (!state.openOrder)
        return OrderOutcome::Void;
    if (!event.report)
        return OrderOutcome::Open;
    OpenOrder& order = *state.openOrder;
    const EngineReport& report = *event.report;
    const bool isSameProcess = report.processStartedAt == order.processStartedAt;
    // The count of a process never falls, so the age of the report does not matter.
    // An order for the version in service begins nothing.
    if (isSameProcess && (report.orders > order.expectedOrders || engineHolds(state, order.version)))
        return settle(state, OrderOutcome::Accepted);
    // While the order may still be on its way, it may reach a process that starts meanwhile.
    if (!order.unansweredSince || event.requestedAt <= *order.unansweredSince)
        return OrderOutcome::Open;
    if (!isSameProcess && (order.outlived || report.orders != order.expectedOrders))
        return settle(state, OrderOutcome::Void);
    order.processStartedAt = report.processStartedAt;
    order.outlived = true;
    return OrderOutcome::Open;
}

void suspectFormerOrder(StageState& state, const EngineReportRead& event, Milliseconds now)
{
    if (state.formerStaging != FormerStaging::Unknown || !event.report)
        return;
    state.formerStaging = FormerStaging::ToInspect;
    state.inspectAt = now;
    // Whatever count it expects, it is not higher than this one, and only at this one it may still be accepted.
    state.openOrder = OpenOrder { .expectedOrders = event.report->orders,
        .processStartedAt = event.report->processStartedAt,
        .repeated = true,
        .unansweredSince = now };
}

void applyInspection(StageState& state, const StagedPiecesInspected& event, Milliseconds now)
{
    if (state.formerStaging != FormerStaging::Inspecting || !state.openOrder)
        return;
    const bool isWanted = !state.jobs.empty() && state.jobs.front().version == event.version;
    if (event.failed || (event.matches && !isWanted)) {
        state.formerStaging = FormerStaging::ToInspect;
        state.inspectAt = event.failed ? now + readBackRetryDelay : now;
    } else if (!event.whole)
        settle(state, OrderOutcome::Void);
    else if (event.matches) {
        state.openOrder->version = event.version;
        state.formerStaging = FormerStaging::Settled;
    } else
        state.formerStaging = FormerStaging::OtherVersion;
}

bool expireFormerOrder(StageState& state, Milliseconds now)
{
    if (state.formerStaging == FormerStaging::Settled || !state.openOrder
        || now - *state.openOrder->unansweredSince < formerOrderTime)
        return false;
    settle(state, OrderOutcome::Void);
    return true;
}

bool mayBeOverwritten(const StageState& state, WeightsVersion version, Milliseconds now)
{
    return std::any_of(state.lateWrites.begin(), state.lateWrites.end(),
        [&](const auto& write) { return write.first != version && now - write.second < lateWriteTime; });
}

bool isOpenFor(const StageState& state, WeightsVersion version)
{
    return state.openOrder && state.openOrder->version == version;
}

bool mayStage(const StageState& state, WeightsVersion version) { return !state.openOrder || isOpenFor(state, version); }

} // namespace hickory

#include "stage_open_order_func.h"

#include "stage_reduce_func.h"

namespace hickory {

namespace {

    OrderOutcome settle(StageState& state, OrderOutcome outcome)
    {
        state.openOrder.reset();
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
    const bool repeated = state.openOrder && state.openOrder->version == version;
    state.openOrder = OpenOrder { .version = version,
        .expectedOrders = confirmed.orders,
        .processStartedAt = confirmed.processStartedAt,
        .repeated = repeated };
}

OrderOutcome settleByAnswer(StageState& state, const LoadOrderAnswered& event, Milliseconds now)
{
    if (!state.openOrder || state.openOrder->version != event.version)
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

bool mayStage(const StageState& state, WeightsVersion version)
{
    return !state.openOrder || state.openOrder->version == version;
}

} // namespace hickory

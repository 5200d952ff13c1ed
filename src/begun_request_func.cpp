#include "begun_request_func.h"

namespace hickory {

bool endsBegunWork(EndCause cause) { return cause == EndCause::UpstreamDead; }

bool hasBegun(const RelayRequest& request)
{
    return request.headForwarded || (request.active && request.active->headReceived);
}

bool mayEnd(const RelayRequest& request, EndCause cause) { return !hasBegun(request) || endsBegunWork(cause); }

bool mayTakeBack(const RelayRequest& request, const ActiveSend& send)
{
    return !request.metadata.model.empty() && !send.headReceived;
}

bool isRepeatable(const RelayRequest& request)
{
    return request.route->kind == CallKind::Idempotent
        || (request.route->kind == CallKind::Stream && request.route->resumable && request.resumePointKnown);
}

bool hasAttemptLeft(const RelayRequest& request) { return request.sends < request.route->maxAttempts; }

} // namespace hickory

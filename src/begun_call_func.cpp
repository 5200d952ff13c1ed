#include "begun_call_func.h"

namespace hickory {

bool hasBegun(const Request& request) { return request.delivered > 0 || request.firstPart || request.replay; }

bool mayEnd(const Request& request, EndCause cause) { return !hasBegun(request) || endsBegunWork(cause); }

} // namespace hickory

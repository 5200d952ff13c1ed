#pragma once

#include "entry_effect_type.h"
#include "entry_state_type.h"
#include "request_end_cmd.h"

namespace hickory {

/// Maximum attempts of one request. Preempted attempts do not count, and once part of the response was delivered, nor
/// do attempts that were refused before they could run.
constexpr std::uint32_t maxAttempts = 4;

/// Credits one successful attempt to the retry balance of its service.
void creditRetryBudget(EntryState& state, ServicePool& pool);

/// Schedules a retry after a failed attempt if the rules and the retry budget permit it, otherwise fails the request. A
/// partly delivered response is resumed on an upstream of the same model version, or aborted.
/// @param failure error for the caller when the request is not retried; its outcome says whether the attempt may have
/// run
/// @pre the request is in no queue and has no attempt in flight
void retryOrFail(EntryState& state, Request& request, RequestFailure failure, EntryEffects& effects);

/// Schedules another attempt of a request that was preempted by a more urgent rank. This costs no retry budget.
/// @pre the request is in no queue and has no attempt in flight
void requeuePreempted(EntryState& state, Request& request, EntryEffects& effects);

/// Queues a request whose backoff is over. The call row of a non-repeatable call is read first.
void endBackoff(EntryState& state, Request& request, EntryEffects& effects);

} // namespace hickory

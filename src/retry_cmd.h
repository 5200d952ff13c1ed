#pragma once

#include "entry_effect_type.h"
#include "entry_state_type.h"
#include "request_end_cmd.h"

namespace hickory {

/// Attempts of one request, not counting those that were preempted.
constexpr std::uint32_t maxAttempts = 4;

/// Adds the share of a success to the retry budget of its service.
void creditRetryBudget(EntryState& state, ServicePool& pool);

/// Sends a request again after an attempt failed, if that is permitted and the budget allows it; otherwise ends it. A
/// request whose answer has begun is resumed on the same version or broken.
/// @param failure what the caller is told when it is not sent again; its outcome says what the attempt may have done
/// @pre the request is in no queue and has no attempt
void retryOrFail(EntryState& state, Request& request, RequestFailure failure, EntryEffects& effects);

/// Queues a request again that was preempted by more urgent work. This costs no budget.
/// @pre the request is in no queue and has no attempt
void requeuePreempted(EntryState& state, Request& request, EntryEffects& effects);

/// Puts a request whose backoff is over into its queue, by way of its call row if it has one.
void endBackoff(EntryState& state, Request& request, EntryEffects& effects);

} // namespace hickory

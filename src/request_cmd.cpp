#include "request_cmd.h"

namespace hickory {

void applyRequestArrived(EntryState&, const RequestArrived&, EntryEffects&) { }
void applyCallerGone(EntryState&, const CallerGone&, EntryEffects&) { }
void applyFirstPart(EntryState&, const FirstPart&, EntryEffects&) { }
void applyAttemptEnded(EntryState&, const AttemptEnded&, EntryEffects&) { }
void applyAgentConnected(EntryState&, const AgentConnected&, EntryEffects&) { }
void applyAgentDisconnected(EntryState&, const AgentDisconnected&, EntryEffects&) { }
void applyAgentStatus(EntryState&, const AgentStatus&, EntryEffects&) { }
void applyHeartbeatMissed(EntryState&, const HeartbeatMissed&, EntryEffects&) { }
void applyCallRowAnswer(EntryState&, const StoreAnswer&, EntryEffects&) { }
void applyConfigToRequests(EntryState&, EntryEffects&) { }
void applyMembersToRequests(EntryState&, EntryEffects&) { }
void applySuspicions(EntryState&, const std::vector<Suspicion>&, EntryEffects&) { }
void tickRequests(EntryState&, EntryEffects&) { }
std::vector<Suspicion> localSuspicions(const EntryState&) { return {}; }
std::vector<Demand> localDemand(const EntryState&) { return {}; }
std::size_t requestsInProgress(const EntryState&) { return 0; }
std::string upstreamsJson(const EntryState&) { return "[]"; }

} // namespace hickory

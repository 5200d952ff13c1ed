#include "control_cmd.h"

namespace hickory {

bool applyConfigReceived(EntryState&, const ConfigReceived&, EntryEffects&) { return false; }
bool applyConfigStoreAnswer(EntryState&, const StoreAnswer&, EntryEffects&) { return false; }
void applyMembersUpdated(EntryState&, const MembersUpdated&, EntryEffects&) { }
void applyLeavingNotice(EntryState&, const HostId&, EntryEffects&) { }
void applyGossip(EntryState&, const GossipReceived&, EntryEffects&) { }
void applyGossipFailed(EntryState&, const GossipFailed&, EntryEffects&) { }
void applyHomeReport(EntryState&, const HomeReport&, EntryEffects&) { }
void applyOperatorCalled(EntryState&, const OperatorCalled&, EntryEffects&) { }
void applyEntryStatus(EntryState&, const EntryStatusReceived&, EntryEffects&) { }
void tickControl(EntryState&, EntryEffects&) { }
GossipMessage localGossip(const EntryState&) { return {}; }
EntryStatus localEntryStatus(const EntryState&) { return {}; }

} // namespace hickory

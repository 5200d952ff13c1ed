#include "placement_cmd.h"

namespace hickory {

void applyPlacementStoreAnswer(EntryState&, const StoreAnswer&, EntryEffects&) { }
void applyDemand(EntryState&, const HostId&, const std::vector<Demand>&, EntryEffects&) { }
void applyConfigToPlacement(EntryState&, EntryEffects&) { }
void tickPlacement(EntryState&, EntryEffects&) { }
std::string rolloutJson(const EntryState&) { return "[]"; }

} // namespace hickory

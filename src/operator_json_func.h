#pragma once

#include "config_type.h"
#include "control_state_type.h"
#include "entry_state_type.h"
#include "operator_type.h"

#include <string>
#include <vector>

namespace hickory {

/// @param error machine-readable reason, e.g. "conflict"
/// @param detail human-readable explanation
/// @return {"error","detail"}
std::string errorJson(const std::string& error, const std::string& detail);

/// @param record an accepted configuration
/// @return {"generation","digest","change_id","text"}
std::string showJson(const ConfigRecord& record);

/// @param config a valid configuration
/// @return {"ok":true,"services","ranks","workspaces"} with counts
std::string checkJson(const Config& config);

/// @param generation generation in force, 0 when there is none
/// @param changes result of diffConfig, one change a line
/// @return {"generation","changes":[...]}
std::string diffJson(Generation generation, const std::vector<std::string>& changes);

/// @param entries generations, newest first; "known" is false for rows that could not be read
/// @return {"history":[{"generation","change_id","digest","known"}]}
std::string historyJson(const std::vector<HistoryEntry>& entries);

/// @param members membership list; its live hosts must all have the newest generation for "in_force" to be true
/// @param self the entry that answers the call
/// @param entries status of every listed entry
/// @return {"generation","entries":[{"host","generation","reachable","leaving","agents":[...]}],"in_force",
/// "waiting_for":[hosts]}
std::string statusJson(const MemberState& members, const HostId& self, const std::vector<EntryStatus>& entries);

/// @param state this entry's state; its random generator is advanced, to shuffle equally close entries
/// @return {"ttl_ms","entries":[{"host","address","place"}]}, reachable and close entries first
std::string entriesJson(EntryState& state);

} // namespace hickory

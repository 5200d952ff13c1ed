#pragma once

#include "config_type.h"
#include "control_state_type.h"
#include "entry_state_type.h"
#include "operator_type.h"

#include <string>
#include <vector>

namespace hickory {

/// @param error machine-readable reason, e.g. "conflict"
/// @param detail human-readable addition
/// @return {"error","detail"}
std::string errorJson(const std::string& error, const std::string& detail);

/// @param record an accepted configuration
/// @return {"generation","digest","change_id","text"}
std::string showJson(const ConfigRecord& record);

/// @param config a checked configuration
/// @return {"ok":true,"services","ranks","workspaces"} with counts
std::string checkJson(const Config& config);

/// @param generation generation in force
/// @param changes lines of diffConfig
/// @return {"generation","changes":[...]}
std::string diffJson(Generation generation, const std::vector<std::string>& changes);

/// @param entries generations, newest first
/// @return {"history":[{"generation","change_id","digest","known"}]}
std::string historyJson(const std::vector<HistoryEntry>& entries);

/// @param members the platform's list
/// @param self the entry that was asked
/// @param entries status of every listed entry
/// @return {"generation","entries":[{"host","generation","reachable","leaving","agents":[...]}],"in_force",
/// "waiting_for":[hosts]}
std::string statusJson(const MemberState& members, const HostId& self, const std::vector<EntryStatus>& entries);

/// @param state this entry; its random generator spreads callers over equally good entries
/// @return {"ttl_ms","entries":[{"host","address","place"}]} in order of preference
std::string entriesJson(EntryState& state);

} // namespace hickory

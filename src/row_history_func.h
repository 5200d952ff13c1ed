#pragma once

#include "platform_table_io.h"
#include "text_patch_func.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace hickory {

/// Former contents of one row of the operators' table, from which patches for peers are made.
struct RowHistory {
    std::uint64_t era { 0 }; ///< of the store; contents of another era are forgotten
    std::optional<platform::TableRow> current; ///< as last recorded, empty before
    std::deque<platform::TableRow> former; ///< oldest first, at most maxFormerRows
    std::map<std::uint64_t, TextPatch> patches; ///< to the current contents by revision of the former ones
};

/// Contents of a row as a change of former ones.
struct RowPatch {
    std::string key; ///< of the row
    std::uint64_t revision { 0 }; ///< of the new contents
    std::uint64_t base { 0 }; ///< revision of the former contents
    std::string digest; ///< digestHex() of the new contents
    TextPatch steps;
};

/// Records contents of the row. The same ones again change nothing.
void recordRow(RowHistory& history, const platform::TableRow& row, std::uint64_t era);

/// Makes a patch of the row's current contents for a peer. The patch is kept for other peers.
/// @param row as the copy holds it
/// @param held version of the peer's copy of the table
/// @return nothing if former contents that the peer may hold are not known, or a patch would not be much smaller
std::optional<RowPatch> makeRowPatch(RowHistory& history, const platform::TableRow& row, const StoreVersion& held);

/// @return whether a copy has the patch's contents of the row, or later ones
bool isApplied(const platform::TableSnapshot& copy, const RowPatch& patch);

/// @param copy the copy that this process holds
/// @return the row with its new contents, or nothing if the copy has other former contents than the patch needs
std::optional<platform::TableRow> applyRowPatch(const platform::TableSnapshot& copy, const RowPatch& patch);

} // namespace hickory

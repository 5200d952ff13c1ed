#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace hickory {

/// State of the platform's store. A store that came back from an older copy gives out its revisions again; its era is
/// higher by one then. All copies of the store's tables are ordered by this, never by the revision alone.
struct StoreVersion {
    std::uint64_t era { 0 }; ///< number of times the store was restored; 0 for a store that does not tell
    std::uint64_t revision { 0 }; ///< of its last change within the era, 0 for none

    auto operator<=>(const StoreVersion&) const = default;
};

/// Era of the store in which something was written.
struct WrittenEra {
    std::uint64_t era { 0 };
    bool isExact { false }; ///< false if it may have been written in an earlier era and restored with the store

    bool operator==(const WrittenEra&) const = default;
};

/// Decides which of two statements of operators is the later one. Within an era their versions increase; after a
/// restore lower ones may be given out again.
/// @return whether the first was written after the second
inline bool isWrittenLater(
    const WrittenEra& era, std::uint64_t version, const WrittenEra& otherEra, std::uint64_t otherVersion)
{
    if (era.isExact && era.era > otherEra.era)
        return true;
    if (otherEra.isExact && otherEra.era > era.era)
        return false;
    return version > otherVersion;
}

/// @return "ERA.REVISION", for logs
inline std::string storeVersionText(const StoreVersion& version)
{
    return std::to_string(version.era) + "." + std::to_string(version.revision);
}

} // namespace hickory

#pragma once

#include <filesystem>
#include <optional>
#include <string>

namespace hickory {

/// Notices that a file was written since it was looked at.
struct FileWatch {
    std::string path; ///< file
    std::optional<std::filesystem::file_time_type> writtenAt; ///< as last seen, empty when it could not be read
};

/// Begins to watch a file as it is now.
FileWatch watchFile(const std::string& path);

/// @return whether the file was written since the last look; a file that is missing for a moment did not change
bool wasWritten(FileWatch& watch);

} // namespace hickory

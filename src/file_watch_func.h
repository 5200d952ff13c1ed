#pragma once

#include <filesystem>
#include <optional>
#include <string>

namespace hickory {

/// Detects changes of a file by its modification time.
struct FileWatch {
    std::string path; ///< path of the file
    std::optional<std::filesystem::file_time_type> writtenAt; ///< last modification time, empty when unreadable
};

/// @return a watch whose reference point is the file's current state
FileWatch watchFile(const std::string& path);

/// @return whether the file was modified since the last call. A missing file counts as unmodified, because editors may
/// replace a file by removing it first.
bool wasWritten(FileWatch& watch);

} // namespace hickory

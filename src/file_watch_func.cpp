#include "file_watch_func.h"

namespace hickory {

namespace {

    std::optional<std::filesystem::file_time_type> lastWrite(const std::string& path)
    {
        std::error_code code;
        const auto time = std::filesystem::last_write_time(path, code);
        return code ? std::nullopt : std::optional(time);
    }

} // namespace

FileWatch watchFile(const std::string& path) { return { .path = path, .writtenAt = lastWrite(path) }; }

bool wasWritten(FileWatch& watch)
{
    const auto now = lastWrite(watch.path);
    if (!now || now == watch.writtenAt)
        return false;
    watch.writtenAt = now;
    return true;
}

} // namespace hickory

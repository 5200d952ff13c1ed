#include "event_splitter_func.h"

#include <algorithm>

namespace hickory {

namespace {

    /// @param events bytes of complete events
    /// @return the value of the last `id:` line, empty when there is none
    std::string_view lastEventId(std::string_view events)
    {
        std::string_view found;
        while (!events.empty()) {
            const std::size_t end = events.find('\n');
            std::string_view line = events.substr(0, end);
            events.remove_prefix(end == std::string_view::npos ? events.size() : end + 1);
            if (!line.starts_with("id:"))
                continue;
            line.remove_prefix(3);
            while (line.starts_with(' '))
                line.remove_prefix(1);
            while (line.ends_with('\r'))
                line.remove_suffix(1);
            found = line;
        }
        return found;
    }

    /// @return the length up to and including the last blank line, 0 when there is none; lines end with LF or CR LF
    std::size_t completeLength(std::string_view bytes)
    {
        const std::size_t lf = bytes.rfind("\n\n");
        const std::size_t crlf = bytes.rfind("\n\r\n");
        const std::size_t lfEnd = lf == std::string_view::npos ? 0 : lf + 2;
        const std::size_t crlfEnd = crlf == std::string_view::npos ? 0 : crlf + 3;
        return lfEnd > crlfEnd ? lfEnd : crlfEnd;
    }

} // namespace

std::string EventSplitter::take(std::string_view bytes)
{
    // The end of an event that is complete now lies in the new bytes, its blank line up to two bytes before them.
    constexpr std::size_t maxLineEnd = 2;
    const std::size_t start = this->partial.size() - std::min(this->partial.size(), maxLineEnd);
    this->partial.append(bytes);
    const std::size_t end = completeLength(std::string_view(this->partial).substr(start));
    const std::size_t length = end == 0 ? 0 : start + end;
    std::string complete = this->partial.substr(0, length);
    this->partial.erase(0, length);
    this->anyEvent = this->anyEvent || complete.find_first_not_of("\r\n") != std::string::npos;
    if (const std::string_view last = lastEventId(complete); !last.empty())
        this->id = last;
    return complete;
}

} // namespace hickory

#include "event_splitter_func.h"

namespace hickory {

namespace {

    /// @return the value of the last `id:` line of some whole events, or nothing
    std::string_view lastIdIn(std::string_view events)
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

    /// @return the length of the part that ends with a blank line
    std::size_t wholeLength(std::string_view bytes)
    {
        const std::size_t plain = bytes.rfind("\n\n");
        const std::size_t windows = bytes.rfind("\n\r\n");
        const std::size_t plainEnd = plain == std::string_view::npos ? 0 : plain + 2;
        const std::size_t windowsEnd = windows == std::string_view::npos ? 0 : windows + 3;
        return plainEnd > windowsEnd ? plainEnd : windowsEnd;
    }

} // namespace

std::string EventSplitter::take(std::string_view bytes)
{
    this->partial.append(bytes);
    const std::size_t length = wholeLength(this->partial);
    std::string whole = this->partial.substr(0, length);
    this->partial.erase(0, length);
    if (const std::string_view last = lastIdIn(whole); !last.empty())
        this->id = last;
    return whole;
}

} // namespace hickory

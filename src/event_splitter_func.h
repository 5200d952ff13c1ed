#pragma once

#include <string>
#include <string_view>

namespace hickory {

/// Cuts a stream of server-sent events at the ends of whole events, so that an answer that breaks in the middle of
/// an event can go on at another upstream.
class EventSplitter {
public:
    /// @param bytes next bytes of the stream
    /// @return the bytes of events that are now whole, in order; empty when none is
    std::string take(std::string_view bytes);

    /// @return bytes of an event that is not whole
    const std::string& rest() const { return this->partial; }
    /// @return the id of the last whole event, empty when there was none
    const std::string& lastId() const { return this->id; }

private:
    std::string partial; ///< not whole yet
    std::string id; ///< of the last whole event
};

} // namespace hickory

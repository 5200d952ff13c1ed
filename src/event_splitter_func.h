#pragma once

#include <string>
#include <string_view>

namespace hickory {

/// Splits a stream of server-sent events at event boundaries. Only complete events are forwarded, so that a stream that
/// breaks off in the middle of an event can be resumed at another upstream.
class EventSplitter {
public:
    /// Adds the next bytes of the stream.
    /// @return the bytes of all events that are now complete; empty when there is none
    std::string take(std::string_view bytes);

    /// @return the bytes of the last, incomplete event
    const std::string& rest() const { return this->partial; }
    /// @return the id of the last complete event that had one, empty when there was none
    const std::string& lastId() const { return this->id; }

private:
    std::string partial; ///< bytes of the incomplete event
    std::string id; ///< id of the last complete event that had one, empty before the first
};

} // namespace hickory

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

    /// @return the bytes after the last complete event
    const std::string& rest() const { return this->partial; }
    /// @return whether an event has begun and is incomplete: a stream that ends now has been broken off
    bool insideEvent() const { return this->partial.find_first_not_of("\r\n") != std::string::npos; }
    /// @return whether a complete event was seen
    bool hasEvents() const { return this->anyEvent; }
    /// @return the id of the last complete event that had one, empty when there was none
    const std::string& lastId() const { return this->id; }

private:
    std::string partial; ///< bytes after the last complete event
    bool anyEvent { false }; ///< a complete event was seen
    std::string id; ///< id of the last complete event that had one, empty before the first
};

} // namespace hickory

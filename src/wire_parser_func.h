#pragma once

#include "wire_head_type.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>

namespace hickory {

/// Kind of the messages that a parser reads.
enum class WireKind : std::uint8_t { Request, Response };

/// Receives a message while it is parsed.
struct WireSink {
    virtual ~WireSink() = default;
    /// Called with the complete head. The body of a response without a length lasts until the connection ends.
    virtual void onHead(WireHead&& head) = 0;
    /// Called with the next bytes of the body, transfer coding removed.
    virtual void onBody(std::string_view bytes) = 0;
    /// Called at the end of the message.
    virtual void onComplete() = 0;
};

/// Reason why parsing failed.
enum class WireFault : std::uint8_t {
    Malformed, ///< not valid HTTP/1.1, ambiguous message length or a request to upgrade the protocol
    HeadTooLarge, ///< start line and headers exceed the limit
};

/// Incremental HTTP/1.1 parser based on http_parser. It stops at the end of each message, so that the caller decides
/// when to parse the next one. After a fault it parses nothing more.
class WireParser {
public:
    /// @param kind kind of all messages
    /// @param maxHeadBytes largest start line and headers together
    WireParser(WireKind kind, std::size_t maxHeadBytes);
    ~WireParser();
    WireParser(const WireParser&) = delete;
    WireParser& operator=(const WireParser&) = delete;

    /// Sets the limit of the head from the next message on.
    /// @pre no message has begun
    void setMaxHeadBytes(std::size_t limit);
    /// Parses until the end of the bytes or of the message.
    /// @param bytes next bytes of the connection
    /// @param sink receives the message
    /// @return number of bytes consumed; fault() tells whether parsing failed
    std::size_t feed(std::string_view bytes, WireSink& sink);

    /// Reports the end of the connection.
    /// @param sink receives onComplete() if this ends a body without a length
    /// @return whether no message was cut off: the connection ended between two messages or at the end of such a body
    bool finish(WireSink& sink);

    /// @return bytes that the head being parsed takes in memory, at most
    std::size_t headMemory() const;
    /// Releases that memory. Nothing may be parsed afterwards.
    void dropHead();
    /// @return the reason why parsing failed, empty when it did not
    std::optional<WireFault> fault() const;
    /// @return whether the last complete message allows another one on the same connection
    bool keepAlive() const;
    /// @return whether a message has begun and has not ended
    bool inMessage() const;

private:
    struct State;
    std::unique_ptr<State> state; ///< the http_parser and the message being parsed
};

} // namespace hickory

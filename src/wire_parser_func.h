#pragma once

#include "wire_head_type.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>

namespace hickory {

/// Direction of the messages that a parser reads.
enum class WireKind : std::uint8_t { Request, Response };

/// Receives the pieces of a message while it is parsed.
struct WireSink {
    virtual ~WireSink() = default;
    /// A complete head. For a response without a length the body lasts until the connection ends.
    virtual void onHead(WireHead&& head) = 0;
    /// The next bytes of the body, without transfer coding.
    virtual void onBody(std::string_view bytes) = 0;
    /// The message is complete.
    virtual void onComplete() = 0;
};

/// Why parsing stopped.
enum class WireFault : std::uint8_t {
    Malformed, ///< not HTTP/1.1, or ambiguous framing
    HeadTooLarge, ///< start line and headers exceed the limit
};

/// Incremental HTTP/1.1 parser over http_parser. It stops after each message, so that bytes of the next one stay
/// with the caller until it asks for them.
class WireParser {
public:
    /// @param kind requests or responses
    /// @param maxHeadBytes limit of start line and headers together
    WireParser(WireKind kind, std::size_t maxHeadBytes);
    ~WireParser();
    WireParser(const WireParser&) = delete;
    WireParser& operator=(const WireParser&) = delete;

    /// Parses until the bytes or the message end.
    /// @param bytes next bytes of the connection
    /// @param sink receives the pieces
    /// @return bytes consumed; fault() tells whether parsing failed
    std::size_t feed(std::string_view bytes, WireSink& sink);

    /// Reports the end of the connection.
    /// @param sink receives onComplete when a body without a length ends here
    /// @return whether the connection ended between two messages or at the end of such a body
    bool finish(WireSink& sink);

    /// @return the reason for which parsing failed, if it did
    std::optional<WireFault> fault() const;
    /// @return whether the connection may carry another message after the last complete one
    bool keepAlive() const;
    /// @return whether a message has begun and is not complete
    bool inMessage() const;

private:
    struct State;
    std::unique_ptr<State> state; ///< the library's parser and the head under construction
};

} // namespace hickory

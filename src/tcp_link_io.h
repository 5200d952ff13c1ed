#pragma once

#include "clock_type.h"

#include <array>
#include <asio.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace hickory {

/// Socket options against peers that vanish without a reset.
struct LinkOptions {
    Milliseconds userTimeout { 1500 }; ///< unacknowledged bytes older than this end the connection (TCP_USER_TIMEOUT)
    int keepAliveIdleSeconds { 2 }; ///< silence before the first keep-alive probe
    int keepAliveProbes { 2 }; ///< probes one second apart before the connection counts as lost
};

/// How a connection ended.
enum class LinkEnd : std::uint8_t {
    Closed, ///< the peer closed its side in order
    Broken, ///< reset, time-out or another error
};

/// One TCP connection on the Asio loop. Writes are tried at once and queued when the socket is full.
class TcpLink : public std::enable_shared_from_this<TcpLink> {
public:
    using OnData = std::function<void(std::string_view)>;
    using OnEnd = std::function<void(LinkEnd)>;

    /// @param socket connected socket
    TcpLink(asio::ip::tcp::socket socket, const LinkOptions& options);

    /// Starts reading. The handlers are dropped by close().
    void start(OnData data, OnEnd end);
    /// Queues bytes; errors are reported through OnEnd.
    void write(std::string_view bytes);
    /// Ends the connection at once and drops both handlers. Unread bytes make the kernel send a reset.
    void close();
    /// Ends the connection after what is queued has been written.
    void closeAfterWrite();
    /// Ends the connection with a reset, so that a body without a length cannot look complete.
    void reset();
    /// Stops or resumes reading, for back pressure.
    void pauseReading(bool paused);

    /// @return bytes queued and not yet taken by the kernel
    std::size_t pending() const { return this->queue.size() - this->queueOffset; }
    bool open() const { return this->socket.is_open(); }

private:
    void readSome();
    void flush();
    void waitWritable();
    void end(LinkEnd how);

    static constexpr std::size_t readBytes = 8192; ///< size of one read; streams carry far less at a time

    asio::ip::tcp::socket socket; ///< the connection
    std::array<char, readBytes> buffer {}; ///< of the read under way
    std::string queue; ///< bytes not yet written
    std::size_t queueOffset { 0 }; ///< start of what remains in queue
    bool writing { false }; ///< a wait for writability is under way
    bool reading { false }; ///< a read is under way
    bool paused { false }; ///< reading was paused
    bool closing { false }; ///< close when queue is empty
    bool inData { false }; ///< onData is running and must outlive close()
    OnData onData; ///< receives bytes
    OnEnd onEnd; ///< told once when the connection ends
};

/// @param text "ip:port"
/// @return the endpoint, or nothing when the text is not one
std::optional<asio::ip::tcp::endpoint> parseEndpoint(std::string_view text);

} // namespace hickory

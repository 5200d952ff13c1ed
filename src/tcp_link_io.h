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

/// Socket options that detect peers that vanish without a reset.
struct LinkOptions {
    Milliseconds userTimeout { 1500 }; ///< TCP_USER_TIMEOUT: sent bytes unacknowledged for this long end the connection
    int keepAliveIdleSeconds { 2 }; ///< idle time before the first keep-alive probe
    int keepAliveProbes { 2 }; ///< unanswered probes, one second apart, that end the connection
    /// Bytes that the kernel holds for a connection until they are read, 0 for its default: then it holds tens of
    /// megabytes of a peer that sends faster than a busy process reads.
    int receiveBuffer { 0 };
};

/// How a connection ended.
enum class LinkEnd : std::uint8_t {
    Closed, ///< the peer closed its side (end of file)
    Broken, ///< reset, timeout or another error
};

/// One TCP connection on the Asio loop. Writes go to the socket at once; what it does not take is queued.
class TcpLink : public std::enable_shared_from_this<TcpLink> {
public:
    using OnData = std::function<void(std::string_view)>;
    using OnEnd = std::function<void(LinkEnd)>;

    /// @param socket connected socket; it is made non-blocking
    TcpLink(asio::ip::tcp::socket socket, const LinkOptions& options);

    /// Starts reading. close() releases the handlers.
    /// @param data called with received bytes
    /// @param end called once when the connection ends other than by close(), closeAfterWrite() or reset(); not
    /// after lingerAfterWrite()
    void start(OnData data, OnEnd end);
    /// @param written called after queued bytes were written, not from within write()
    void onWritten(std::function<void()> written) { this->writtenHandler = std::move(written); }
    /// Sends bytes, queueing them if necessary; ignored after closeAfterWrite(). Errors are reported through OnEnd,
    /// never from within this call.
    void write(std::string_view bytes);
    /// Closes the connection at once and releases both handlers. Queued bytes are lost. If received bytes are unread,
    /// the kernel sends a reset.
    void close();
    /// Closes the connection after all queued bytes have been written.
    void closeAfterWrite();
    /// Ends the sending side after all queued bytes have been written, and goes on reading until the peer closes: bytes
    /// left unread would make the kernel send a reset, which can take from the peer what it has not read yet.
    void lingerAfterWrite();
    /// Ends the sending side and leaves unread what the peer sends from now on, so that a request which crosses the end
    /// was not read. Only while nothing is queued. To be followed by close() or reset().
    /// @param arrived called once, when bytes arrive; not when the peer closes its side, which closes the connection
    void lingerUnread(std::function<void()> arrived);
    /// Closes the connection with a reset, so that the peer cannot take a partial body for a complete one.
    void reset();
    /// Stops or resumes reading, for flow control.
    void pauseReading(bool paused);

    /// @return bytes queued and not yet taken by the kernel
    std::size_t pending() const { return this->queue.size() - this->queueOffset; }
    /// @return memory that queued bytes take
    std::size_t queueCapacity() const { return this->queue.capacity(); }
    /// @return received bytes that the kernel holds and that were not read
    std::size_t unreadBytes() const;
    /// @return whether the connection is open and the kernel holds neither bytes nor an end from the peer that were not
    /// read
    bool quiet();
    /// @return written bytes that the peer's kernel has not acknowledged, 0 for a closed socket
    std::size_t unacknowledgedBytes();
    /// @return whether the connection stays open for reading after lingerAfterWrite()
    bool isLingering() const { return this->lingering && this->socket.is_open(); }
    /// @return whether the socket is open
    bool open() const { return this->socket.is_open(); }

private:
    /// Starts a read unless one is in progress or reading is paused.
    void readSome();
    /// Waits for bytes of the peer without reading them, after lingerUnread().
    void waitUnread();
    /// Writes as much of the queue as the socket takes.
    void flush();
    /// Writes as much as the socket takes.
    /// @return bytes written, or nothing if the connection is broken
    std::optional<std::size_t> writeSome(std::string_view bytes);
    /// Releases memory of bytes that were written.
    void trimQueue();
    /// Ends the connection, or only its sending side, after closeAfterWrite() or lingerAfterWrite().
    void endSending();
    /// Continues flush() when the socket is writable.
    void waitWritable();
    /// Calls onEnd, once.
    void end(LinkEnd how);

    static constexpr std::size_t readBytes = 8192; ///< largest read; reads of event streams are far smaller

    asio::ip::tcp::socket socket; ///< non-blocking socket
    std::array<char, readBytes> buffer {}; ///< target of the read in progress
    std::string queue; ///< bytes to write
    std::size_t queueOffset { 0 }; ///< offset of the first unwritten byte in queue
    bool writing { false }; ///< waiting until the socket is writable
    bool reading { false }; ///< a read is in progress
    bool paused { false }; ///< set by pauseReading()
    bool writeFailed { false }; ///< the connection is broken, whatever a read reports then
    bool closing { false }; ///< closeAfterWrite() or lingerAfterWrite() was called
    bool lingering { false }; ///< lingerAfterWrite() was called, and the peer has not closed its side
    bool inDataHandler { false }; ///< onData is running, so that close() must not destroy it
    std::function<void()> onUnread; ///< see lingerUnread(); empty before it and after its call
    OnData onData; ///< see start(); empty after close()
    OnEnd onEnd; ///< see start(); empty after its call or close()
    std::function<void()> writtenHandler; ///< see onWritten(); may be empty
};

/// @param text "ip:port"
/// @return the endpoint, or nothing when the text is not valid
std::optional<asio::ip::tcp::endpoint> parseEndpoint(std::string_view text);

} // namespace hickory

#include "tcp_link_io.h"

#include <cerrno>
#include <charconv>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <optional>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>

namespace hickory {

namespace {

    void setOption(int handle, int level, int option, int value)
    {
        // A failure is ignored: a kernel without the option uses its default timers, and requests have deadlines.
        (void)::setsockopt(handle, level, option, &value, sizeof value);
    }

    void applyOptions(asio::ip::tcp::socket& socket, const LinkOptions& options)
    {
        const int handle = socket.native_handle();
        setOption(handle, IPPROTO_TCP, TCP_NODELAY, 1);
        setOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
        setOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, options.keepAliveIdleSeconds);
        setOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, 1);
        setOption(handle, IPPROTO_TCP, TCP_KEEPCNT, options.keepAliveProbes);
        setOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(options.userTimeout.value));
        if (options.receiveBuffer > 0)
            setOption(handle, SOL_SOCKET, SO_RCVBUF, options.receiveBuffer);
    }

} // namespace

std::optional<asio::ip::tcp::endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    unsigned short port = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc {} || parsed.ptr != end)
        return std::nullopt;
    std::error_code code;
    const auto address = asio::ip::make_address(std::string(text.substr(0, colon)), code);
    if (code)
        return std::nullopt;
    return asio::ip::tcp::endpoint { address, port };
}

TcpLink::TcpLink(asio::ip::tcp::socket socket, const LinkOptions& options)
    : socket(std::move(socket))
{
    std::error_code code;
    this->socket.non_blocking(true, code);
    applyOptions(this->socket, options);
}

void TcpLink::start(OnData data, OnEnd end)
{
    this->onData = std::move(data);
    this->onEnd = std::move(end);
    this->readSome();
}

void TcpLink::readSome()
{
    if (this->reading || this->paused || !this->socket.is_open())
        return;
    this->reading = true;
    this->socket.async_read_some(
        asio::buffer(this->buffer), [self = this->shared_from_this()](const std::error_code& code, std::size_t count) {
            self->reading = false;
            if (code == asio::error::operation_aborted && self->onUnread) {
                self->waitUnread();
                return;
            }
            if (code) {
                const bool closed = code == asio::error::eof && !self->writeFailed;
                self->end(closed ? LinkEnd::Closed : LinkEnd::Broken);
                return;
            }
            if (self->onData) {
                self->inDataHandler = true;
                self->onData({ self->buffer.data(), count });
                self->inDataHandler = false;
            }
            if (!self->socket.is_open())
                self->onData = nullptr;
            if (self->onUnread)
                self->waitUnread();
            else
                self->readSome();
        });
}

void TcpLink::write(std::string_view bytes)
{
    if (!this->socket.is_open() || this->closing)
        return;
    // What the socket takes at once is not copied into the queue.
    if (this->pending() == 0 && !this->writing) {
        const std::optional<std::size_t> written = this->writeSome(bytes);
        this->queue.append(bytes.substr(written.value_or(0)));
        if (written && this->pending() > 0)
            this->waitWritable();
        return;
    }
    this->trimQueue();
    this->queue.append(bytes);
    if (!this->writing)
        this->flush();
}

std::optional<std::size_t> TcpLink::writeSome(std::string_view bytes)
{
    std::size_t written = 0;
    while (written < bytes.size()) {
        std::error_code code;
        written += this->socket.write_some(asio::buffer(bytes.data() + written, bytes.size() - written), code);
        if (code == asio::error::would_block || code == asio::error::try_again)
            break;
        if (code) {
            // The kernel reports a reset once: a read that comes after a failed write may see the end of the file.
            this->writeFailed = true;
            // Report the end asynchronously, so that callers of write() are not re-entered.
            asio::post(this->socket.get_executor(), [self = this->shared_from_this()] { self->end(LinkEnd::Broken); });
            return std::nullopt;
        }
    }
    return written;
}

void TcpLink::trimQueue()
{
    constexpr std::size_t keptCapacity = 16U << 10U;
    if (this->pending() == 0) {
        this->queue.clear();
        this->queueOffset = 0;
        if (this->queue.capacity() > keptCapacity)
            this->queue.shrink_to_fit();
    } else if (this->queueOffset > keptCapacity && this->queueOffset > this->queue.size() / 2) {
        // A peer that never takes all of it would let the queue grow for ever.
        this->queue.erase(0, this->queueOffset);
        this->queueOffset = 0;
    }
}

void TcpLink::flush()
{
    const std::optional<std::size_t> written = this->writeSome(std::string_view(this->queue).substr(this->queueOffset));
    if (!written)
        return;
    this->queueOffset += *written;
    this->trimQueue();
    if (this->pending() > 0)
        this->waitWritable();
    else if (this->closing)
        this->endSending();
}

void TcpLink::endSending()
{
    std::error_code code;
    if (this->lingering)
        this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, code);
    if (!this->lingering || code)
        this->close();
}

void TcpLink::waitWritable()
{
    this->writing = true;
    this->socket.async_wait(
        asio::ip::tcp::socket::wait_write, [self = this->shared_from_this()](const std::error_code& code) {
            self->writing = false;
            if (code)
                self->end(LinkEnd::Broken);
            else if (self->socket.is_open()) {
                self->flush();
                if (const auto written = self->writtenHandler)
                    written();
            }
        });
}

void TcpLink::close()
{
    if (!this->inDataHandler)
        this->onData = nullptr;
    this->onEnd = nullptr;
    this->onUnread = nullptr;
    this->writtenHandler = nullptr;
    std::error_code code;
    this->socket.close(code);
}

void TcpLink::closeAfterWrite()
{
    this->closing = true;
    if (this->pending() == 0)
        this->close();
}

void TcpLink::lingerAfterWrite()
{
    if (this->closing || !this->socket.is_open())
        return;
    this->closing = true;
    this->lingering = true;
    this->onEnd = nullptr;
    this->pauseReading(false);
    if (this->pending() == 0)
        this->endSending();
}

void TcpLink::lingerUnread(std::function<void()> arrived)
{
    if (this->closing || !this->socket.is_open())
        return;
    this->closing = true;
    this->lingering = true;
    this->onEnd = nullptr;
    this->onUnread = std::move(arrived);
    std::error_code code; // a connection that is gone is closed by the wait
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, code);
    if (this->reading)
        this->socket.cancel(code); // its handler waits
    else
        this->waitUnread();
}

void TcpLink::waitUnread()
{
    this->socket.async_wait(
        asio::ip::tcp::socket::wait_read, [self = this->shared_from_this()](const std::error_code& code) {
            const auto arrived = std::exchange(self->onUnread, nullptr);
            if (!code && arrived && self->unreadBytes() > 0)
                arrived();
            else
                self->end(code ? LinkEnd::Broken : LinkEnd::Closed);
        });
}

std::size_t TcpLink::unreadBytes() const
{
    std::error_code code; // a closed socket has none
    return this->socket.available(code);
}

bool TcpLink::quiet()
{
    if (!this->socket.is_open())
        return false;
    char byte = 0;
    const auto count = ::recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::size_t TcpLink::unacknowledgedBytes()
{
    int bytes = 0;
    if (!this->socket.is_open() || ::ioctl(this->socket.native_handle(), SIOCOUTQ, &bytes) != 0)
        return 0;
    return static_cast<std::size_t>(bytes);
}

void TcpLink::reset()
{
    std::error_code code;
    this->socket.set_option(asio::socket_base::linger(true, 0), code);
    this->close();
}

void TcpLink::pauseReading(bool pause)
{
    this->paused = pause;
    if (!pause)
        this->readSome();
}

void TcpLink::end(LinkEnd how)
{
    this->lingering = false;
    if (this->closing && (how == LinkEnd::Broken || this->pending() == 0))
        this->close(); // nothing is left to write, or it cannot be written
    if (!this->onEnd)
        return;
    const OnEnd handler = std::move(this->onEnd);
    this->onEnd = nullptr;
    handler(how);
}

} // namespace hickory

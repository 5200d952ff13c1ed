#include "probe_io.h"

#include "tcp_link_io.h"
#include "wire_parser_func.h"

#include <array>
#include <memory>
#include <string_view>

namespace hickory {

namespace {

    /// An accepted connection over which nothing is asked must stay open this long: a process that ends closes all its
    /// sockets together.
    constexpr Milliseconds probeHold { 20 };

    /// @param answer first bytes of an HTTP answer
    /// @return whether it is a gateway's, sent because the process behind it cannot be reached
    bool isGatewayFailure(std::string_view answer)
    {
        constexpr std::size_t statusAt = 9; ///< after "HTTP/1.1 "
        return answer.size() > statusAt
            && (answer.substr(statusAt).starts_with("502") || answer.substr(statusAt).starts_with("504"));
    }

    constexpr std::size_t maxHeadBytes = 4096; ///< of an answer; the heads of status reports take a few hundred

    /// A probe in progress. Its callbacks keep it alive.
    struct Probe : std::enable_shared_from_this<Probe>, WireSink {
        Probe(asio::io_context& io, const ProbeOptions& options, std::function<void(ProbeResult)> done)
            : options(options)
            , done(std::move(done))
            , socket(io)
            , timer(io)
            , parser(WireKind::Response, maxHeadBytes)
        {
        }

        void onHead(WireHead&& head) override
        {
            this->headRead = true;
            if (this->options.onHead)
                this->options.onHead(head);
        }
        void onBody(std::string_view) override { }
        void onComplete() override { }

        void connect(const asio::ip::tcp::endpoint& endpoint)
        {
            this->closeAfter(this->options.timeout);
            this->socket.async_connect(endpoint, [self = this->shared_from_this()](const std::error_code& code) {
                self->timer.cancel();
                if (!code)
                    self->ask();
                else
                    self->done(
                        code == asio::error::connection_refused ? ProbeResult::Refused : ProbeResult::Unreachable);
            });
        }

        /// Asks for the path and waits for an answer or the end of the connection. The kernel accepts connections for a
        /// process that is about to end, and resets them then.
        void ask()
        {
            if (!this->options.statusPath.empty()) {
                const std::string request = "GET " + this->options.statusPath
                    + " HTTP/1.1\r\nHost: " + this->options.address + "\r\nConnection: close\r\n\r\n";
                std::error_code ignored; // the read reports the failure
                asio::write(this->socket, asio::buffer(request), ignored);
            }
            this->closeAfter(this->options.statusPath.empty() ? probeHold : this->options.timeout);
            this->socket.async_read_some(asio::buffer(this->answer),
                [self = this->shared_from_this()](const std::error_code& code, std::size_t size) {
                    const bool isSilent = self->options.mustAnswer && !self->options.statusPath.empty();
                    const bool isKept
                        = self->expired ? !isSilent : !code && !isGatewayFailure({ self->answer.data(), size });
                    self->readHead(isKept ? ProbeResult::Accepted : ProbeResult::Unreachable, code ? 0 : size);
                });
        }

        /// Parses what has arrived, and reads on until the head is complete. The first bytes have decided the result.
        /// @param size bytes that were just read, 0 if nothing can be read
        void readHead(ProbeResult result, std::size_t size)
        {
            if (size > 0)
                this->parser.feed({ this->answer.data(), size }, *this);
            if (size == 0 || this->headRead || this->parser.fault()) {
                this->timer.cancel();
                this->done(result);
                return;
            }
            this->socket.async_read_some(asio::buffer(this->answer),
                [self = this->shared_from_this(), result](
                    const std::error_code& code, std::size_t read) { self->readHead(result, code ? 0 : read); });
        }

        void closeAfter(Milliseconds delay)
        {
            this->expired = false;
            this->timer.expires_after(std::chrono::milliseconds(delay.value));
            this->timer.async_wait([self = this->shared_from_this()](const std::error_code& cancelled) {
                std::error_code ignored; // the pending operation returns in any case
                if (cancelled)
                    return;
                self->expired = true;
                self->socket.close(ignored);
            });
        }

        ProbeOptions options;
        std::function<void(ProbeResult)> done;
        asio::ip::tcp::socket socket;
        asio::steady_timer timer;
        bool expired { false }; ///< the time of the current step is over
        std::array<char, 512> answer {}; ///< what was read last
        WireParser parser; ///< of the answer
        bool headRead { false }; ///< the head of the answer is complete
    };

} // namespace

void probeConnection(asio::io_context& io, const ProbeOptions& options, std::function<void(ProbeResult)> done)
{
    const auto endpoint = parseEndpoint(options.address);
    if (endpoint)
        std::make_shared<Probe>(io, options, std::move(done))->connect(*endpoint);
    else
        asio::post(io, [done = std::move(done)] { done(ProbeResult::Unreachable); });
}

} // namespace hickory

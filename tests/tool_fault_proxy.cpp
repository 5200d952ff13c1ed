// TCP proxy for many links. Delays, rate limits, corruption, disconnections and stalls of each link and direction are
// controlled by an HTTP interface.

#include "standin_http.h"

#include <asio.hpp>
#include <cxxopts.hpp>
#include <deque>
#include <future>
#include <iostream>
#include <map>
#include <thread>

using namespace hickory::standin;
using asio::ip::tcp;

namespace {

/// Fault mode of a direction.
enum class Mode {
    Pass, ///< data is forwarded
    Cut, ///< connections of the link are closed, also new ones
    Freeze ///< data is held back; connections stay open
};

/// Faults and counters of one direction of a link.
struct Direction {
    Mode mode { Mode::Pass }; ///< key "mode" of PUT /links/{name}
    std::uint64_t delayMs { 0 }; ///< milliseconds by which each segment is delayed
    std::shared_ptr<RateLimiter> rateLimiter
        = std::make_shared<RateLimiter>(); ///< shared by all directions with the same "rate_group"
    std::uint64_t corruptEvery { 0 }; ///< every Nth byte is changed, 0 for none
    std::uint64_t dropsLeft { 0 }; ///< number of further segments that are dropped together with their connection
    std::uint64_t bytes { 0 }; ///< number of bytes read
};

struct Connection;

/// A listening address and the target to which its connections are forwarded.
struct Link {
    std::unique_ptr<tcp::acceptor> acceptor; ///< accepts connections of clients
    tcp::endpoint target; ///< applies to new connections
    Direction toTarget; ///< direction from clients to the target
    Direction fromTarget; ///< direction from the target to clients
    std::uint64_t accepted { 0 }; ///< number of connections accepted so far
    std::vector<std::weak_ptr<Connection>> connections; ///< closed when the mode becomes Mode::Cut
};

/// A client connection with the connection to the target to which it is forwarded.
struct Connection {
    explicit Connection(tcp::socket accepted)
        : client(std::move(accepted))
        , target(client.get_executor())
    {
    }

    void close()
    {
        std::error_code ignored;
        this->client.close(ignored);
        this->target.close(ignored);
    }

    tcp::socket client; ///< connection that the link accepted
    tcp::socket target; ///< connection to the target of the link
};

/// Data that was read from one socket and not written to the other yet.
struct Segment {
    std::string data; ///< bytes of one read, possibly corrupted
    SteadyClock::time_point due; ///< earliest time of the write
};

/// Forwards data in one direction of a connection.
class Forwarder : public std::enable_shared_from_this<Forwarder> {
public:
    Forwarder(std::shared_ptr<Connection> givenConnection, tcp::socket& from, tcp::socket& to,
        std::shared_ptr<Link> givenLink, Direction& direction)
        : connection(std::move(givenConnection))
        , link(std::move(givenLink))
        , from(from)
        , to(to)
        , direction(direction)
        , readTimer(from.get_executor())
        , writeTimer(from.get_executor())
    {
    }

    /// Reads the next segment, or waits while the direction is frozen or too many segments are pending.
    void read()
    {
        constexpr std::size_t maxSegments = 64;
        if (this->direction.mode == Mode::Freeze || this->segments.size() >= maxSegments) {
            this->readTimer.expires_after(retryInterval);
            this->readTimer.async_wait([self = this->shared_from_this()](std::error_code) { self->read(); });
            return;
        }
        this->from.async_read_some(
            asio::buffer(this->buffer), [self = this->shared_from_this()](std::error_code error, std::size_t size) {
                self->handleRead(error, size);
            });
    }

private:
    /// Applies the faults of the direction to a segment that was read.
    void handleRead(std::error_code error, std::size_t size)
    {
        if (!error && this->direction.dropsLeft > 0) {
            --this->direction.dropsLeft;
            this->connection->close();
            return;
        }
        if (error) {
            this->ended = true;
            this->write();
            return;
        }
        const std::uint64_t every = this->direction.corruptEvery;
        for (std::size_t index = 0; every > 0 && index < size; ++index)
            if ((this->direction.bytes + index + 1) % every == 0)
                this->buffer[index] = static_cast<char>(this->buffer[index] ^ 0x55);
        this->direction.bytes += size;
        const auto due = std::max(this->direction.rateLimiter->reserve(size), SteadyClock::now());
        this->segments.push_back({ .data = std::string(this->buffer.data(), size),
            .due = due + std::chrono::milliseconds(this->direction.delayMs) });
        this->write();
        this->read();
    }

    /// Writes the first pending segment when it is due, then the following ones. After the last one it passes on the
    /// end of the stream.
    void write()
    {
        if (this->writing || !this->to.is_open())
            return;
        if (this->segments.empty()) {
            std::error_code ignored;
            if (this->ended)
                this->to.shutdown(tcp::socket::shutdown_send, ignored);
            return;
        }
        this->writing = true;
        const bool frozen = this->direction.mode == Mode::Freeze;
        const auto self = this->shared_from_this();
        if (frozen || this->segments.front().due > SteadyClock::now()) {
            this->writeTimer.expires_at(frozen ? SteadyClock::now() + retryInterval : this->segments.front().due);
            this->writeTimer.async_wait([self](std::error_code) {
                self->writing = false;
                self->write();
            });
            return;
        }
        asio::async_write(
            this->to, asio::buffer(this->segments.front().data), [self](std::error_code error, std::size_t) {
                self->writing = false;
                self->segments.pop_front();
                if (error)
                    return self->connection->close();
                self->write();
            });
    }

    static constexpr std::size_t segmentBytes = 16384; ///< maximum size of a segment
    static constexpr auto retryInterval = std::chrono::milliseconds(2); ///< poll interval of a frozen or full direction

    std::shared_ptr<Connection> connection; ///< keeps the sockets alive
    std::shared_ptr<Link> link; ///< keeps the direction alive
    tcp::socket& from; ///< source of the data
    tcp::socket& to; ///< destination of the data
    Direction& direction; ///< faults to apply; owned by the link
    std::array<char, segmentBytes> buffer {}; ///< target of the read in progress
    std::deque<Segment> segments; ///< read but not yet written, oldest first
    asio::steady_timer readTimer; ///< retries a read that the direction does not allow
    asio::steady_timer writeTimer; ///< waits until a segment is due, or retries a frozen write
    bool writing { false }; ///< a write or its timer is in progress
    bool ended { false }; ///< the source has ended or failed; nothing more is read
};

/// Links by name.
using Links = std::map<std::string, std::shared_ptr<Link>>;

/// Limits what the kernel holds for a socket in each direction. Its defaults are tens of megabytes on some machines: a
/// sender would not notice for long that the process behind the proxy has stopped reading.
void limitBuffers(tcp::socket& socket)
{
    constexpr int socketBuffer = 256 << 10;
    std::error_code ignored; // the kernel's defaults hold more and delay the same bytes
    socket.set_option(asio::socket_base::receive_buffer_size(socketBuffer), ignored);
    socket.set_option(asio::socket_base::send_buffer_size(socketBuffer), ignored);
}

/// Connects to the target of a link and forwards both directions, unless the link is cut.
void connect(const std::shared_ptr<Connection>& connection, const std::shared_ptr<Link>& link)
{
    std::error_code failed; // reported by the connection attempt
    connection->target.open(link->target.protocol(), failed);
    limitBuffers(connection->client);
    limitBuffers(connection->target);
    connection->target.async_connect(link->target, [connection, link](std::error_code error) {
        std::error_code ignored;
        connection->client.set_option(tcp::no_delay(true), ignored);
        connection->target.set_option(tcp::no_delay(true), ignored);
        if (error || link->toTarget.mode == Mode::Cut || link->fromTarget.mode == Mode::Cut)
            return connection->close();
        tcp::socket& client = connection->client;
        tcp::socket& target = connection->target;
        std::make_shared<Forwarder>(connection, client, target, link, link->toTarget)->read();
        std::make_shared<Forwarder>(connection, target, client, link, link->fromTarget)->read();
    });
}

/// Accepts connections of a link until its acceptor is closed.
void acceptNext(const std::shared_ptr<Link>& link)
{
    link->acceptor->async_accept([link](std::error_code error, tcp::socket socket) {
        if (error)
            return;
        ++link->accepted;
        const auto connection = std::make_shared<Connection>(std::move(socket));
        std::erase_if(link->connections, [](const auto& known) { return known.expired(); });
        link->connections.push_back(connection);
        connect(connection, link);
        acceptNext(link);
    });
}

/// @param text "ip:port"
tcp::endpoint endpoint(const std::string& text)
{
    const HostPort address = parseHostPort(text);
    return { asio::ip::make_address(address.host), static_cast<std::uint16_t>(address.port) };
}

/// Applies the body of PUT /links/{name} to one direction; missing keys change nothing.
/// @param rateGroups shared rate limiters by name; a new one is added for an unknown "rate_group"
void configure(
    Direction& direction, const Json& settings, std::map<std::string, std::shared_ptr<RateLimiter>>& rateGroups)
{
    if (settings.contains("mode")) {
        const std::string mode = settings["mode"];
        direction.mode = mode == "cut" ? Mode::Cut : mode == "freeze" ? Mode::Freeze : Mode::Pass;
    }
    direction.delayMs = settings.value("delay_ms", direction.delayMs);
    direction.corruptEvery = settings.value("corrupt_every", direction.corruptEvery);
    direction.dropsLeft = settings.value("drop_answers", direction.dropsLeft);
    if (settings.contains("rate_group")) {
        auto& limiter = rateGroups[settings["rate_group"]];
        limiter = limiter == nullptr ? std::make_shared<RateLimiter>() : limiter;
        direction.rateLimiter = limiter;
    }
    if (settings.contains("rate_bytes_per_s"))
        direction.rateLimiter->setRate(settings["rate_bytes_per_s"]);
}

/// All links of the proxy. Members are used on the Asio thread only.
struct Proxy {
    asio::io_context context; ///< event loop of all links
    Links links;
    std::map<std::string, std::shared_ptr<RateLimiter>> rateGroups; ///< shared rate limiters by name

    /// Adds a link for POST /links.
    /// @return the address on which it listens
    Json add(const Json& settings)
    {
        auto link = std::make_shared<Link>();
        link->target = endpoint(settings.value("target", "127.0.0.1:1"));
        link->acceptor
            = std::make_unique<tcp::acceptor>(this->context, endpoint(settings.value("listen", "127.0.0.1:0")));
        acceptNext(link);
        this->links[settings.at("name")] = link;
        const tcp::endpoint bound = link->acceptor->local_endpoint();
        this->change(settings.at("name"), settings);
        return { { "listen", bound.address().to_string() + ":" + std::to_string(bound.port()) } };
    }

    /// Changes a link for PUT /links/{name}.
    Json change(const std::string& name, const Json& settings)
    {
        Link& link = *this->links.at(name);
        if (settings.contains("target"))
            link.target = endpoint(settings["target"]);
        const std::string which = settings.value("direction", "both");
        if (which != "from_target")
            configure(link.toTarget, settings, this->rateGroups);
        if (which != "to_target")
            configure(link.fromTarget, settings, this->rateGroups);
        if (settings.value("mode", "") == "cut") {
            for (const auto& known : link.connections)
                if (const auto connection = known.lock())
                    connection->close();
        }
        return Json::object();
    }

    /// @return bytes and connections of each link for GET /links
    Json statistics() const
    {
        Json shown = Json::object();
        for (const auto& [name, link] : this->links) {
            shown[name] = { { "to_target", link->toTarget.bytes }, { "from_target", link->fromTarget.bytes },
                { "accepted", link->accepted } };
        }
        return shown;
    }

    /// Runs a function on the Asio thread and waits for its result.
    Json runOnAsioThread(const std::function<Json()>& function)
    {
        std::packaged_task<Json()> task(function);
        auto result = task.get_future();
        asio::post(this->context, [&task] { task(); });
        return result.get();
    }
};

} // namespace

int main(int argc, char** argv)
try {
    cxxopts::Options options("fault-proxy", "TCP proxy that injects faults");
    options.add_options()("listen", "ip:port of the control interface",
        cxxopts::value<std::string>()->default_value("127.0.0.1:0"))("help", "");
    const auto flags = options.parse(argc, argv);
    if (flags.count("help") > 0) {
        std::cout << options.help() << std::endl;
        return 0;
    }
    constexpr unsigned controlThreads = 8;
    Proxy proxy;
    const auto server = makeServer(controlThreads);
    server->Post("/links", [&proxy](const httplib::Request& request, httplib::Response& response) {
        reply(response, 200, proxy.runOnAsioThread([&] { return proxy.add(Json::parse(request.body)); }));
    });
    server->Put("/links/(.+)", [&proxy](const httplib::Request& request, httplib::Response& response) {
        reply(response, 200,
            proxy.runOnAsioThread([&] { return proxy.change(request.matches[1], Json::parse(request.body)); }));
    });
    server->Get("/links", [&proxy](const httplib::Request&, httplib::Response& response) {
        reply(response, 200, proxy.runOnAsioThread([&proxy] { return proxy.statistics(); }));
    });
    printListening("http=" + bindServer(*server, flags["listen"].as<std::string>()).text());
    std::thread([&server] { server->listen_after_bind(); }).detach();
    const auto workGuard = asio::make_work_guard(proxy.context);
    proxy.context.run();
    return 0;
} catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << std::endl;
    return 2;
}

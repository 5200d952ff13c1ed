// Carries many TCP links in one process and injects faults into each of them on demand.

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

enum class Mode { Pass, Cut, Freeze };

/// One direction of a link.
struct Direction {
    Mode mode { Mode::Pass }; ///< fault in force
    std::uint64_t delayMs { 0 }; ///< added to each piece
    std::shared_ptr<Pacer> pace = std::make_shared<Pacer>(); ///< may be shared by several links
    std::uint64_t corruptEvery { 0 }; ///< one byte in that many is changed, 0 for none
    std::uint64_t dropAnswers { 0 }; ///< times that data ends the connection instead of passing
    std::uint64_t bytes { 0 }; ///< carried so far
};

struct Connection;

/// One listening address and its target.
struct Link {
    std::unique_ptr<tcp::acceptor> acceptor; ///< listener
    tcp::endpoint target; ///< where connections go
    Direction toTarget; ///< from the client
    Direction fromTarget; ///< towards the client
    std::uint64_t accepted { 0 }; ///< connections so far
    std::vector<std::weak_ptr<Connection>> connections; ///< to be closed by a cut
};

/// Two sockets that belong together.
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

    tcp::socket client; ///< who connected to the link
    tcp::socket target; ///< connection to the link's target
};

/// Bytes on their way.
struct Piece {
    std::string data; ///< the bytes
    SteadyClock::time_point due; ///< when they leave
};

/// One direction of one connection.
class Stream : public std::enable_shared_from_this<Stream> {
public:
    Stream(std::shared_ptr<Connection> givenConnection, tcp::socket& from, tcp::socket& to,
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

    /// Reads the next piece, when the direction lets it.
    void read()
    {
        constexpr std::size_t maxPieces = 64;
        if (this->direction.mode == Mode::Freeze || this->pieces.size() >= maxPieces) {
            this->readTimer.expires_after(frozenPoll);
            this->readTimer.async_wait([self = this->shared_from_this()](std::error_code) { self->read(); });
            return;
        }
        this->from.async_read_some(asio::buffer(this->buffer),
            [self = this->shared_from_this()](std::error_code error, std::size_t size) { self->accept(error, size); });
    }

private:
    /// Injects the faults into what was read.
    void accept(std::error_code error, std::size_t size)
    {
        if (!error && this->direction.dropAnswers > 0) {
            --this->direction.dropAnswers;
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
        const auto due = std::max(this->direction.pace->reserve(size), SteadyClock::now());
        this->pieces.push_back({ .data = std::string(this->buffer.data(), size),
            .due = due + std::chrono::milliseconds(this->direction.delayMs) });
        this->write();
        this->read();
    }

    /// Writes the first piece when it is due, and goes on with the next.
    void write()
    {
        if (this->writing || !this->to.is_open())
            return;
        if (this->pieces.empty()) {
            std::error_code ignored;
            if (this->ended)
                this->to.shutdown(tcp::socket::shutdown_send, ignored);
            return;
        }
        this->writing = true;
        const bool frozen = this->direction.mode == Mode::Freeze;
        const auto self = this->shared_from_this();
        if (frozen || this->pieces.front().due > SteadyClock::now()) {
            this->writeTimer.expires_at(frozen ? SteadyClock::now() + frozenPoll : this->pieces.front().due);
            this->writeTimer.async_wait([self](std::error_code) {
                self->writing = false;
                self->write();
            });
            return;
        }
        asio::async_write(
            this->to, asio::buffer(this->pieces.front().data), [self](std::error_code error, std::size_t) {
                self->writing = false;
                self->pieces.pop_front();
                if (error)
                    return self->connection->close();
                self->write();
            });
    }

    static constexpr std::size_t pieceBytes = 16384;
    static constexpr auto frozenPoll = std::chrono::milliseconds(2); ///< how often a frozen or full stream is tried

    std::shared_ptr<Connection> connection; ///< keeps the sockets alive
    std::shared_ptr<Link> link; ///< keeps the direction alive
    tcp::socket& from; ///< read side
    tcp::socket& to; ///< write side
    Direction& direction; ///< faults in force
    std::array<char, pieceBytes> buffer {}; ///< being read
    std::deque<Piece> pieces; ///< read and not yet written
    asio::steady_timer readTimer; ///< for a frozen or full stream
    asio::steady_timer writeTimer; ///< until a piece is due
    bool writing { false }; ///< a write or its timer is in progress
    bool ended { false }; ///< nothing more comes
};

using Links = std::map<std::string, std::shared_ptr<Link>>;

void connect(const std::shared_ptr<Connection>& connection, const std::shared_ptr<Link>& link)
{
    connection->target.async_connect(link->target, [connection, link](std::error_code error) {
        std::error_code ignored;
        connection->client.set_option(tcp::no_delay(true), ignored);
        connection->target.set_option(tcp::no_delay(true), ignored);
        if (error || link->toTarget.mode == Mode::Cut || link->fromTarget.mode == Mode::Cut)
            return connection->close();
        tcp::socket& client = connection->client;
        tcp::socket& target = connection->target;
        std::make_shared<Stream>(connection, client, target, link, link->toTarget)->read();
        std::make_shared<Stream>(connection, target, client, link, link->fromTarget)->read();
    });
}

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

tcp::endpoint endpoint(const std::string& text)
{
    const HostPort address = parseHostPort(text);
    return { asio::ip::make_address(address.host), static_cast<std::uint16_t>(address.port) };
}

/// Applies the keys of PUT /links/{name} to one direction.
/// @param groups pacers shared by name
void configure(Direction& direction, const Json& wanted, std::map<std::string, std::shared_ptr<Pacer>>& groups)
{
    if (wanted.contains("mode")) {
        const std::string mode = wanted["mode"];
        direction.mode = mode == "cut" ? Mode::Cut : mode == "freeze" ? Mode::Freeze : Mode::Pass;
    }
    direction.delayMs = wanted.value("delay_ms", direction.delayMs);
    direction.corruptEvery = wanted.value("corrupt_every", direction.corruptEvery);
    direction.dropAnswers = wanted.value("drop_answers", direction.dropAnswers);
    if (wanted.contains("rate_group")) {
        auto& pacer = groups[wanted["rate_group"]];
        pacer = pacer == nullptr ? std::make_shared<Pacer>() : pacer;
        direction.pace = pacer;
    }
    if (wanted.contains("rate_bytes_per_s"))
        direction.pace->setRate(wanted["rate_bytes_per_s"]);
}

/// The proxy; its members are used on the Asio thread only.
struct Proxy {
    asio::io_context context; ///< runs everything
    Links links; ///< by name
    std::map<std::string, std::shared_ptr<Pacer>> groups; ///< shared rates by name

    Json add(const Json& wanted)
    {
        auto link = std::make_shared<Link>();
        link->target = endpoint(wanted.value("target", "127.0.0.1:1"));
        link->acceptor
            = std::make_unique<tcp::acceptor>(this->context, endpoint(wanted.value("listen", "127.0.0.1:0")));
        acceptNext(link);
        this->links[wanted.at("name")] = link;
        const tcp::endpoint bound = link->acceptor->local_endpoint();
        this->change(wanted.at("name"), wanted);
        return { { "listen", bound.address().to_string() + ":" + std::to_string(bound.port()) } };
    }

    Json change(const std::string& name, const Json& wanted)
    {
        Link& link = *this->links.at(name);
        if (wanted.contains("target"))
            link.target = endpoint(wanted["target"]);
        const std::string which = wanted.value("direction", "both");
        if (which != "from_target")
            configure(link.toTarget, wanted, this->groups);
        if (which != "to_target")
            configure(link.fromTarget, wanted, this->groups);
        if (wanted.value("mode", "") == "cut") {
            for (const auto& known : link.connections)
                if (const auto connection = known.lock())
                    connection->close();
        }
        return Json::object();
    }

    Json show() const
    {
        Json shown = Json::object();
        for (const auto& [name, link] : this->links) {
            shown[name] = { { "to_target", link->toTarget.bytes }, { "from_target", link->fromTarget.bytes },
                { "accepted", link->accepted } };
        }
        return shown;
    }

    /// Runs a function on the Asio thread and waits for its answer.
    Json call(const std::function<Json()>& function)
    {
        std::packaged_task<Json()> task(function);
        auto answer = task.get_future();
        asio::post(this->context, [&task] { task(); });
        return answer.get();
    }
};

} // namespace

int main(int argc, char** argv)
try {
    cxxopts::Options options("fault-proxy", "TCP links with faults on demand");
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
        reply(response, 200, proxy.call([&] { return proxy.add(Json::parse(request.body)); }));
    });
    server->Put("/links/(.+)", [&proxy](const httplib::Request& request, httplib::Response& response) {
        reply(response, 200, proxy.call([&] { return proxy.change(request.matches[1], Json::parse(request.body)); }));
    });
    server->Get("/links", [&proxy](const httplib::Request&, httplib::Response& response) {
        reply(response, 200, proxy.call([&proxy] { return proxy.show(); }));
    });
    printListening("http=" + bindServer(*server, flags["listen"].as<std::string>()).text());
    std::thread([&server] { server->listen_after_bind(); }).detach();
    const auto work = asio::make_work_guard(proxy.context);
    proxy.context.run();
    return 0;
} catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << std::endl;
    return 2;
}

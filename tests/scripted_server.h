#pragma once

#include <array>
#include <asio.hpp>
#include <string>
#include <thread>
#include <utility>

namespace hickory {

/// Server with a thread of its own that reads one request, sends some bytes and closes the connection.
class ScriptedServer {
public:
    /// @param bytes sent in answer to the first request
    /// @param runsOn it goes on to accept connections, as a process that runs; otherwise it closes its listening socket
    /// together with the connection, as a process that ends
    explicit ScriptedServer(std::string bytes, bool runsOn = true)
        : acceptor(this->io, { asio::ip::make_address("127.0.0.1"), 0 })
        , endpoint(this->acceptor.local_endpoint())
        , bytes(std::move(bytes))
        , runsOn(runsOn)
        , thread([this] { this->serve(); })
    {
    }
    ~ScriptedServer() { this->thread.join(); }
    ScriptedServer(const ScriptedServer&) = delete;
    ScriptedServer& operator=(const ScriptedServer&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(this->endpoint.port()); }

private:
    void serve()
    {
        asio::ip::tcp::socket socket = this->acceptor.accept();
        std::array<char, 4096> request {};
        socket.read_some(asio::buffer(request));
        asio::write(socket, asio::buffer(this->bytes));
        if (!this->runsOn)
            this->acceptor.close();
        // Both directions end in order, so that no byte is lost to a reset.
        socket.shutdown(asio::ip::tcp::socket::shutdown_send);
        std::error_code ignored; // the peer has read everything
        while (socket.read_some(asio::buffer(request), ignored) > 0 && !ignored) { }
    }

    asio::io_context io;
    asio::ip::tcp::acceptor acceptor; ///< its backlog accepts connections while it is open
    asio::ip::tcp::endpoint endpoint; ///< address of the server, also after its end
    std::string bytes;
    bool runsOn;
    std::thread thread;
};

} // namespace hickory

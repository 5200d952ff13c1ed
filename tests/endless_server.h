#pragma once

#include <array>
#include <asio.hpp>
#include <string>

namespace hickory {

/// Bytes that an endless answer may cost above a limit: what the kernel buffers on both sides.
constexpr std::size_t socketBuffers = 12U << 20U;

/// Server that sends a start and then the same bytes again and again until its peer closes the connection.
struct EndlessServer {
    EndlessServer(asio::io_context& io, const std::string& start, std::string unit)
        : acceptor(io, { asio::ip::make_address("127.0.0.1"), 0 })
        , socket(io)
        , block(start)
        , unit(std::move(unit))
    {
        this->acceptor.async_accept(this->socket, [this](const std::error_code& code) {
            if (code)
                return;
            this->send();
            this->read();
        });
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()); }

    /// Reads requests, to notice the close.
    void read()
    {
        this->socket.async_read_some(asio::buffer(this->received), [this](const std::error_code& code, std::size_t) {
            if (!code) {
                this->read();
                return;
            }
            std::error_code ignored; // a connection that was reset
            this->socket.close(ignored);
            this->closed = true;
        });
    }

    void send()
    {
        constexpr std::size_t blockBytes = 32768;
        while (this->block.size() < blockBytes)
            this->block += this->unit;
        asio::async_write(
            this->socket, asio::buffer(this->block), [this](const std::error_code& code, std::size_t count) {
                this->sent += count;
                this->block.clear();
                this->closed = this->closed || code;
                if (!code)
                    this->send();
            });
    }

    asio::ip::tcp::acceptor acceptor;
    asio::ip::tcp::socket socket;
    std::array<char, 4096> received {}; ///< requests, which are not used
    std::string block; ///< bytes being sent
    std::string unit; ///< what is sent again and again
    std::size_t sent { 0 }; ///< bytes that the kernel took
    bool closed { false }; ///< the peer closed the connection
};

} // namespace hickory

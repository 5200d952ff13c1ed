#pragma once

#include "front_io.h"

#include <memory>
#include <string>
#include <vector>

namespace hickory {

inline const std::string plainRequest = "POST /plain HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab";
constexpr std::size_t largeAnswer = 200000; ///< bytes of the answer to "/large"

/// A server that answers at once, but begins an answer to "/begin" and leaves "/wait" open.
struct FrontRig {
    FrontRig()
    {
        this->server = std::make_unique<FrontServer>(this->io, LinkOptions {},
            FrontServer::Handlers { .onRequest = [this](FrontRequest&& request) { this->onRequest(request); },
                .onCallerDisconnected = [](CallId) {},
                .onConnectionClosed
                = [this](const ClosedConnection& connection) { this->closed.push_back(connection); } });
        this->port = this->server->listen("127.0.0.1:0").value();
    }

    void onRequest(const FrontRequest& request)
    {
        this->lastCall = request.id;
        this->lastBefore = request.before;
        if (request.head.target == "/begin")
            this->server->begin(request.id, 200, {});
        else if (request.head.target == "/large")
            this->server->answer(request.id, 200, {}, std::string(largeAnswer, 'a'));
        else if (request.head.target != "/wait")
            this->server->answer(request.id, 200, {}, "done");
    }

    asio::ip::tcp::socket connect()
    {
        asio::ip::tcp::socket caller(this->callers);
        caller.connect({ asio::ip::make_address("127.0.0.1"), this->port });
        return caller;
    }

    /// Runs the server until it has nothing to do.
    void run()
    {
        for (int turn = 0; turn < 4; ++turn) {
            this->io.restart();
            this->io.run_for(std::chrono::milliseconds(10));
        }
    }

    /// @return what the caller gets until nothing follows for a moment; waits a second for the first byte
    std::string receive(asio::ip::tcp::socket& caller)
    {
        std::string text;
        caller.non_blocking(true);
        this->lastError = {};
        const Milliseconds until = monotonicNow() + Milliseconds { 1000 };
        for (bool isNew = true; isNew || (text.empty() && monotonicNow() < until);) {
            this->run();
            std::string part(1U << 20U, '\0');
            part.resize(caller.read_some(asio::buffer(part), this->lastError));
            text += part;
            isNew = !part.empty();
            if (this->lastError && this->lastError != asio::error::would_block)
                break;
        }
        caller.non_blocking(false);
        return text;
    }

    asio::io_context io; ///< of the server
    asio::io_context callers;
    std::unique_ptr<FrontServer> server;
    std::vector<ClosedConnection> closed;
    std::uint16_t port { 0 };
    CallId lastCall;
    IdleConnection lastBefore; ///< of the last request
    std::error_code lastError; ///< how the last receive() ended
};

inline void send(asio::ip::tcp::socket& caller, const std::string& bytes) { asio::write(caller, asio::buffer(bytes)); }

} // namespace hickory

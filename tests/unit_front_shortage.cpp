#include "front_io.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace hickory;

namespace {

/// A server that answers each request at once.
struct ShortageRig {
    ShortageRig()
    {
        this->server = std::make_unique<FrontServer>(this->io, LinkOptions {},
            FrontServer::Handlers { .onRequest =
                                        [this](FrontRequest&& request) {
                                            ++this->delivered;
                                            this->server->answer(request.id, 200, {}, "done");
                                        },
                .onCallerDisconnected = [](CallId) {},
                .onConnectionClosed
                = [this](const ClosedConnection& connection) { this->reasons.push_back(connection.reason); } });
        this->port = this->server->listen("127.0.0.1:0").value();
    }

    void run()
    {
        this->io.restart();
        this->io.run_for(std::chrono::milliseconds(20));
    }

    asio::ip::tcp::socket connect()
    {
        asio::ip::tcp::socket caller(this->callers);
        caller.connect({ asio::ip::make_address("127.0.0.1"), this->port });
        this->run();
        return caller;
    }

    /// @return what the server answers
    std::string ask(asio::ip::tcp::socket& caller, const std::string& bytes)
    {
        asio::write(caller, asio::buffer(bytes));
        this->run();
        std::string answer(1000, '\0');
        std::error_code code; // it may have been closed
        answer.resize(caller.read_some(asio::buffer(answer), code));
        return answer;
    }

    asio::io_context io; ///< of the server
    asio::io_context callers;
    std::unique_ptr<FrontServer> server;
    std::vector<CloseReason> reasons; ///< of the connections that were closed
    std::uint16_t port { 0 };
    int delivered { 0 }; ///< requests that the handler got
};

const std::string start = "POST / HTTP/1.1\r\nHost: x\r\n";

} // namespace

// Guards against bodies that are read although they are refused in the end.
TEST_CASE("A declared length is refused before its body is read", "[front][front-shortage]")
{
    ShortageRig rig;
    rig.server->setLimits({ .bodyBytes = { 1000000 } });
    rig.server->setBudget({ .bytes = 500000 });
    auto caller = rig.connect();
    SECTION("it is over the limit")
    {
        CHECK(rig.ask(caller, start + "Content-Length: 1000001\r\nExpect: 100-continue\r\n\r\n")
                  .starts_with("HTTP/1.1 413"));
        CHECK(rig.reasons == std::vector { CloseReason::Refused });
    }
    SECTION("it is over the budget")
    {
        const std::string answer = rig.ask(caller, start + "Content-Length: 1000000\r\nExpect: 100-continue\r\n\r\n");
        CHECK(answer.starts_with("HTTP/1.1 503"));
        CHECK(answer.find("Retry-After: 1\r\n") != std::string::npos);
        CHECK(rig.reasons == std::vector { CloseReason::Memory });
    }
    SECTION("it is within both")
    {
        CHECK(rig.ask(caller, start + "Content-Length: 2\r\nExpect: 100-continue\r\n\r\n").starts_with("HTTP/1.1 100"));
        CHECK(rig.ask(caller, "ab").starts_with("HTTP/1.1 200"));
    }
    CHECK(rig.delivered == (rig.reasons.empty() ? 1 : 0));
}

// Guards against a chunked body that takes more than the budget, and against one that is given to the handler then.
TEST_CASE("A chunked body over the budget is refused as not run", "[front][front-shortage]")
{
    ShortageRig rig;
    rig.server->setBudget({ .bytes = 100000 });
    auto caller = rig.connect();
    std::string bytes = start + "Transfer-Encoding: chunked\r\n\r\n30d40\r\n" + std::string(200000, 'b');
    CHECK(rig.ask(caller, bytes + "\r\n0\r\n\r\n").starts_with("HTTP/1.1 503"));
    CHECK(rig.delivered == 0);
    auto other = rig.connect();
    CHECK(rig.ask(other, start + "Content-Length: 0\r\n\r\n").starts_with("HTTP/1.1 200"));
}

// Guards against callers that keep all connections and lock out the others.
TEST_CASE("At the limit of connections the one that has been idle longest is closed", "[front][front-shortage]")
{
    ShortageRig rig;
    rig.server->setBudget({ .connections = 2 });
    auto first = rig.connect();
    auto second = rig.connect();
    auto third = rig.connect();
    CHECK(rig.reasons == std::vector { CloseReason::Descriptors });
    std::string part(10, '\0');
    std::error_code code;
    first.read_some(asio::buffer(part), code);
    CHECK(code == asio::error::eof);
    CHECK(rig.ask(second, start + "Content-Length: 0\r\n\r\n").starts_with("HTTP/1.1 200"));
    CHECK(rig.ask(third, start + "Content-Length: 0\r\n\r\n").starts_with("HTTP/1.1 200"));
}

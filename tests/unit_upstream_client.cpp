#include "endless_server.h"
#include "scripted_server.h"
#include "table/answer_limits.h"
#include "upstream_io.h"

#include <catch2/catch.hpp>

#include <future>
#include <thread>

using namespace hickory;

// Guards against collecting an event in memory for as long as an engine sends it.
TEST_CASE("A request whose engine sends an event without end ends as crashed", "[upstream-client]")
{
    asio::io_context io;
    EndlessServer engine(io, "HTTP/1.1 200 OK\r\n\r\ndata: ", "endless ");
    std::thread thread([&] { io.run(); });
    std::promise<UpstreamEnded> end;
    auto ended = end.get_future();
    {
        UpstreamClient client({ .url = "http://" + engine.address(),
            .engine = true,
            .maxThreads = 1,
            .onEvent = [&](AgentEventBody event) {
                if (auto* found = std::get_if<UpstreamEnded>(&event))
                    end.set_value(std::move(*found));
            } });
        const StartUpstream request { .timeout = { 60000 } };
        client.start(request, std::make_shared<RequestPayload>(RequestPayload { .method = "POST", .path = "/" }),
            std::make_shared<PartChannel>());
        const bool inTime = ended.wait_for(std::chrono::seconds(3)) == std::future_status::ready;
        CHECK(inTime);
        if (inTime)
            CHECK(ended.get().result == UpstreamResult::Crashed);
        else
            asio::post(io, [&] { engine.socket.close(); });
    }
    thread.join();
    CHECK(engine.sent < maxEvent + socketBuffers);
}

// Guards against a part of an answer that is recorded and passed on as complete because its upstream crashed.
TEST_CASE("An answer that ends with its connection is complete only if its upstream still runs", "[upstream-client]")
{
    const bool runsOn = GENERATE(true, false);
    ScriptedServer server("HTTP/1.1 200 OK\r\n\r\npart", runsOn);
    std::promise<UpstreamEnded> end;
    auto ended = end.get_future();
    UpstreamClient client({ .url = "http://" + server.address(), .maxThreads = 1, .onEvent = [&](AgentEventBody event) {
                               if (auto* found = std::get_if<UpstreamEnded>(&event))
                                   end.set_value(std::move(*found));
                           } });
    const auto channel = std::make_shared<PartChannel>();
    channel->postPart = [](std::uint32_t, const std::string&, std::uint16_t, const std::string&) {};
    client.start(StartUpstream { .timeout = { 3000 } },
        std::make_shared<RequestPayload>(RequestPayload { .method = "POST", .path = "/" }), channel);
    REQUIRE(ended.wait_for(std::chrono::seconds(5)) == std::future_status::ready);
    CHECK(ended.get().result == (runsOn ? UpstreamResult::Completed : UpstreamResult::Crashed));
}

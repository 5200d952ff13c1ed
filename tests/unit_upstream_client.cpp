#include "endless_server.h"
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

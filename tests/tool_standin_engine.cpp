// Stand-in for a model engine: generates reproducible tokens with configurable latency, batching and prefix cache.

#include "standin_engine.h"

#include <cxxopts.hpp>
#include <iostream>
#include <thread>

using namespace hickory::standin;

namespace {

/// Registers the HTTP interface of the engine.
void addHandlers(Engine& engine, httplib::Server& server)
{
    server.Post("/v1/completions", [&engine](const httplib::Request& request, httplib::Response& response) {
        const auto submitted = engine.submit(request, response);
        if (submitted != nullptr)
            response.set_chunked_content_provider(
                "text/event-stream",
                [&engine, submitted](std::size_t, httplib::DataSink& sink) { return engine.stream(submitted, sink); },
                [&engine, submitted](bool complete) {
                    if (!complete)
                        engine.cancel(submitted->id);
                });
    });
    server.Delete("/v1/requests/(.+)", [&engine](const httplib::Request& request, httplib::Response& response) {
        const bool found = engine.cancel(request.matches[1]);
        reply(response, found ? 200 : 404, { { "cancelled", found } });
    });
    server.Post("/admin/load", [&engine](const httplib::Request& request, httplib::Response& response) {
        engine.load(Json::parse(request.body), response);
    });
    server.Get("/admin/state",
        [&engine](const httplib::Request&, httplib::Response& response) { reply(response, 200, engine.state()); });
    server.Get("/load",
        [&engine](const httplib::Request&, httplib::Response& response) { reply(response, 200, engine.loadReport()); });
    server.Get("/cache_events", [&engine](const httplib::Request& request, httplib::Response& response) {
        const std::string since = request.get_param_value("since");
        reply(response, 200, engine.cacheEvents(since.empty() ? 0 : std::stoull(since)));
    });
    server.Post("/kv/export", [&engine](const httplib::Request&, httplib::Response& response) {
        reply(response, 200, engine.exportCache());
    });
    server.Post("/kv/import", [&engine](const httplib::Request& request, httplib::Response& response) {
        engine.importCache(Json::parse(request.body));
        reply(response, 200, Json::object());
    });
}

} // namespace

int main(int argc, char** argv)
try {
    cxxopts::Options options("standin-engine", "Stand-in for a model engine");
    options.add_options()("listen", "ip:port", cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
        "slots", "maximum batch size in requests", cxxopts::value<unsigned>()->default_value("8"))("max-queued",
        "maximum number of requests that wait for a slot", cxxopts::value<unsigned>()->default_value("64"))("token-ms",
        "milliseconds between tokens if the batch holds one request", cxxopts::value<double>()->default_value("10"))(
        "first-token-ms", "milliseconds of prefill without a cache hit", cxxopts::value<double>()->default_value("50"))(
        "hit-share", "fraction of first-token-ms that prefill takes with a cache hit",
        cxxopts::value<double>()->default_value("0.2"))("batch-slowdown",
        "relative increase of token-ms when the batch is full", cxxopts::value<double>()->default_value("0.5"))(
        "cache-entries", "capacity of the prefix cache", cxxopts::value<std::size_t>()->default_value("64"))(
        "prefix-chars", "leading characters of a prompt that identify its cache entry",
        cxxopts::value<std::size_t>()->default_value("64"))("load-ms", "milliseconds to load a model version",
        cxxopts::value<std::uint64_t>()->default_value("500"))("fencing",
        "checked to refuse load orders with an older fencing number, or ignored",
        cxxopts::value<std::string>()->default_value("checked"))("load-lag-ms", "age of load reports in milliseconds",
        cxxopts::value<std::uint64_t>()->default_value("500"))("event-lag-ms", "delay of cache events in milliseconds",
        cxxopts::value<std::uint64_t>()->default_value("500"))("event-loss",
        "fraction of cache events that are dropped", cxxopts::value<double>()->default_value("0.1"))("fail-version",
        "model version that fails to load", cxxopts::value<std::string>()->default_value(""))("runs-log",
        "file to which a line is appended for each run", cxxopts::value<std::string>()->default_value(""))("threads",
        "maximum number of connections served at once", cxxopts::value<unsigned>()->default_value("256"))("help", "");
    const auto flags = options.parse(argc, argv);
    if (flags.count("help") > 0) {
        std::cout << options.help() << std::endl;
        return 0;
    }
    Engine engine({ .slots = flags["slots"].as<unsigned>(),
        .maxQueued = flags["max-queued"].as<unsigned>(),
        .tokenMs = flags["token-ms"].as<double>(),
        .firstTokenMs = flags["first-token-ms"].as<double>(),
        .cacheHitCost = flags["hit-share"].as<double>(),
        .batchSlowdown = flags["batch-slowdown"].as<double>(),
        .cacheEntries = flags["cache-entries"].as<std::size_t>(),
        .prefixChars = flags["prefix-chars"].as<std::size_t>(),
        .loadMs = flags["load-ms"].as<std::uint64_t>(),
        .fencing = flags["fencing"].as<std::string>() == "checked",
        .loadLagMs = flags["load-lag-ms"].as<std::uint64_t>(),
        .eventLagMs = flags["event-lag-ms"].as<std::uint64_t>(),
        .eventLoss = flags["event-loss"].as<double>(),
        .failVersion = flags["fail-version"].as<std::string>(),
        .runsLog = flags["runs-log"].as<std::string>() });
    const auto server = makeServer(flags["threads"].as<unsigned>());
    addHandlers(engine, *server);
    printListening("http=" + bindServer(*server, flags["listen"].as<std::string>()).text());
    std::thread([&engine] { engine.run(); }).detach();
    server->listen_after_bind();
    return 0;
} catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << std::endl;
    return 2;
}

// Stand-in for a plain service. It counts runs by Idempotency-Key, so that a test can check that a request runs at most
// once. A request body that contains "CRASH" ends the process.

#include "digest_func.h"
#include "standin_http.h"

#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <map>
#include <thread>
#include <unistd.h>

using namespace hickory::standin;

int main(int argc, char** argv)
try {
    cxxopts::Options options("standin-plain", "Stand-in for a plain service");
    options.add_options()("listen", "ip:port", cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
        "service", "service name in responses", cxxopts::value<std::string>()->default_value("plain"))(
        "delay-ms", "milliseconds that a POST takes", cxxopts::value<std::uint64_t>()->default_value("5"))("runs-log",
        "file to which a line is appended for each run", cxxopts::value<std::string>()->default_value(""))("threads",
        "maximum number of connections served at once", cxxopts::value<unsigned>()->default_value("256"))("help", "");
    const auto flags = options.parse(argc, argv);
    if (flags.count("help") > 0) {
        std::cout << options.help() << std::endl;
        return 0;
    }
    const std::string service = flags["service"].as<std::string>();
    const std::chrono::milliseconds delay(flags["delay-ms"].as<std::uint64_t>());
    const std::string runsPath = flags["runs-log"].as<std::string>();
    std::ofstream runsLog(runsPath, std::ios::app);
    std::mutex mutex;
    std::map<std::string, std::uint64_t> runsByKey;
    std::uint64_t total = 0;

    const auto server = makeServer(flags["threads"].as<unsigned>());
    server->Get("/admin/runs", [&](const httplib::Request&, httplib::Response& response) {
        const std::lock_guard lock(mutex);
        reply(response, 200, { { "runs", runsByKey }, { "total", total } });
    });
    server->Get(".*", [&](const httplib::Request& request, httplib::Response& response) {
        reply(response, 200, { { "service", service }, { "path", request.path } });
    });
    server->Post(".*", [&](const httplib::Request& request, httplib::Response& response) {
        const std::string key = request.get_header_value("Idempotency-Key");
        const std::string digest = hickory::digestHex(request.body);
        std::uint64_t run = 0;
        {
            const std::lock_guard lock(mutex);
            run = ++total;
            runsByKey[key] += key.empty() ? 0 : 1;
            if (!runsPath.empty()) {
                runsLog << (key.empty() ? "-" : key) << ' ' << digest << std::endl;
            }
        }
        if (request.body.find("CRASH") != std::string::npos) {
            _exit(134);
        }
        std::this_thread::sleep_for(delay);
        reply(response, 200,
            { { "service", service }, { "path", request.path }, { "echo_digest", digest }, { "run", run } });
    });
    printListening("http=" + bindServer(*server, flags["listen"].as<std::string>()).text());
    server->listen_after_bind();
    return 0;
} catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << std::endl;
    return 2;
}

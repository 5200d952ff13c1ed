#include "program_func.h"

#include "table/caller_limits.h"

#include <cxxopts.hpp>

#include <cstdlib>
#include <iostream>
#include <malloc.h>

namespace hickory {

std::optional<ProgramArguments> parseArguments(
    int count, char** values, const std::string& program, const std::string& description, int& exitCode)
{
    cxxopts::Options options(program, description);
    options.add_options()("s,settings", "settings file (TOML); default: the path in HICKORYROAD_SETTINGS",
        cxxopts::value<std::string>(),
        "FILE")("check", "check the settings file and exit: 0 when it is valid, 2 when not")(
        "version", "print the version and exit")("h,help", "print this help and exit");
    try {
        const auto parsed = options.parse(count, values);
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            exitCode = exitSuccess;
            return std::nullopt;
        }
        if (parsed.count("version") > 0) {
            std::cout << program << " " << HICKORY_VERSION << "\n";
            exitCode = exitSuccess;
            return std::nullopt;
        }
        const char* fallback = std::getenv("HICKORYROAD_SETTINGS");
        if (parsed.count("settings") == 0 && !fallback) {
            std::cerr << program << ": --settings FILE is required\n";
            exitCode = exitUsage;
            return std::nullopt;
        }
        return ProgramArguments { .settings
            = parsed.count("settings") > 0 ? parsed["settings"].as<std::string>() : std::string(fallback),
            .check = parsed.count("check") > 0 };
    } catch (const cxxopts::exceptions::exception& exception) {
        std::cerr << program << ": " << exception.what() << "\n";
        exitCode = exitUsage;
        return std::nullopt;
    }
}

void returnFreedBlocks() { mallopt(M_MMAP_THRESHOLD, mmapThreshold); }

LogLine listeningLine(const ProcessSettings& process, unsigned rpcPort, unsigned httpPort)
{
    const auto withPort = [](const std::string& listen, unsigned port) {
        return listen.substr(0, listen.rfind(':') + 1) + std::to_string(port);
    };
    return {
        .event = "listening",
        .fields = {
            { "rpc", withPort(process.rpcListen, rpcPort) },
            { "http", withPort(process.httpListen, httpPort) },
            { "seed", std::to_string(process.seed) },
        },
    };
}

} // namespace hickory

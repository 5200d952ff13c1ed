#pragma once

#include "clock_type.h"
#include "id_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hickory {

/// Parsed command line of hickoryctl, completed from the settings file and the environment.
struct CtlOptions {
    std::string command; ///< "check", "diff", "apply", ...
    std::vector<std::string> arguments; ///< positional arguments after the command
    std::vector<std::string> entries; ///< "http://ip:port" or "https://ip:port", tried in order
    std::string token; ///< operator token for the Authorization header; none is sent if empty
    std::string tlsAuthority; ///< PEM file to verify https entries with; the system's authorities if empty
    bool json { false }; ///< print machine-readable output
    bool wait { false }; ///< apply: wait until the configuration is in force on every host
    bool watch { false }; ///< status, upstreams, rollout: repeat until interrupted
    bool hasBase { false }; ///< apply: `base` was given; otherwise the newest generation is used
    Generation base; ///< apply: generation that the configuration was edited from
    Generation generation; ///< show: generation to print, 0 for the newest
    ChangeId changeId; ///< apply: identifies the change when it is sent again; generated if empty
    Milliseconds timeout { 60000 }; ///< limit of the wait of `apply --wait` and of the whole `request`
    std::string workspace; ///< request: X-Workspace
    std::string rank; ///< request: X-Rank
    std::string key; ///< request: Idempotency-Key; none is sent if empty
    std::string data; ///< request: body, or "@" and the path of a file that holds it
    std::string method { "POST" }; ///< request: HTTP method of the request
    std::string logs { "." }; ///< explain: directory that is searched recursively for log files
    std::string upstreams; ///< config check: path of a JSON object with a row for each upstream; none if empty
    std::string regions; ///< config check: REGION or DATA-CENTRE=REGION, separated by commas; not known if empty
    std::string against; ///< config diff: path of the document to compare with
    std::string platform; ///< publish: URL of the platform
    std::string model; ///< publish: model name
    std::string version; ///< publish: model version
    std::uint64_t chunkBytes { 0 }; ///< publish: chunk size in bytes, 0 to derive it from the file size
};

/// Result of a command, as reported to the shell and the user.
struct CtlResult {
    int exitCode { 0 }; ///< exit code of the program, see program_func.h
    std::string output; ///< printed to standard output
    std::string message; ///< printed to standard error, without the program name and the newline; may be empty
};

} // namespace hickory

#pragma once

#include "clock_type.h"
#include "id_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hickory {

/// What hickoryctl was asked to do.
struct CtlOptions {
    std::string command; ///< "check", "diff", "apply", ...
    std::vector<std::string> arguments; ///< after the command
    std::vector<std::string> entries; ///< "http://ip:port", tried in order
    std::string token; ///< operator token, may be empty
    std::string tlsAuthority; ///< PEM path for https entries, empty for the system's authorities
    bool json { false }; ///< machine-readable output
    bool wait { false }; ///< apply: wait until in force
    bool watch { false }; ///< status, rollout: repeat until interrupted
    bool baseGiven { false }; ///< apply: `base` was given
    Generation base; ///< apply: generation that the text was made from
    Generation generation; ///< show: generation, 0 for the newest
    ChangeId changeId; ///< apply: empty draws one
    Milliseconds timeout { 60000 }; ///< apply --wait and request: longest time
    std::string workspace; ///< request
    std::string rank; ///< request
    std::string key; ///< request: Idempotency-Key
    std::string data; ///< request: body
    std::string method { "POST" }; ///< request
    std::string logs { "." }; ///< explain: folder with the logs of the processes
    std::string platform; ///< publish: URL of the platform
    std::string model; ///< publish
    std::string version; ///< publish
    std::uint64_t chunkBytes { 0 }; ///< publish: 0 takes the default
};

/// What a command tells the shell and the user.
struct CtlResult {
    int exitCode { 0 }; ///< one of the program's exit codes
    std::string output; ///< for standard output
    std::string message; ///< for standard error
};

} // namespace hickory

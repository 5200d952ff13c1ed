#include "ctl_call_io.h"
#include "ctl_cmd.h"
#include "ctl_text_func.h"

#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

namespace hickory {

namespace {

    constexpr Milliseconds operatorTimeout { 20000 }; ///< limit of one status call
    constexpr std::chrono::seconds watchInterval { 2 };

    /// Fetches a status page from an entry and formats it.
    /// @param format used unless --json is given
    CtlResult fetchAndFormat(
        const CtlOptions& options, const std::string& path, std::string (*format)(const nlohmann::json&))
    {
        const Result<HttpReply> reply = callFirstReachableEntry(options, { .path = path, .timeout = operatorTimeout });
        if (!reply)
            return unreachableResult(reply.error());
        if (!succeeded(reply.value()))
            return failureResult(options, reply.value());
        return { .output = options.json ? reply.value().body + "\n" : format(replyJson(reply.value())) };
    }

    /// Shows a status page once, or with --watch repeatedly until the program is interrupted. A failed call is printed
    /// and does not end the repetition.
    CtlResult showOrWatch(
        const CtlOptions& options, const std::string& path, std::string (*format)(const nlohmann::json&))
    {
        CtlResult result = fetchAndFormat(options, path, format);
        while (options.watch) {
            std::cout << result.output << std::flush;
            if (!result.message.empty())
                std::cerr << "hickoryctl: " << result.message << std::endl;
            std::this_thread::sleep_for(watchInterval);
            result = fetchAndFormat(options, path, format);
        }
        return result;
    }

} // namespace

CtlResult runStatus(const CtlOptions& options) { return showOrWatch(options, "/v1/status", formatStatus); }

CtlResult runUpstreams(const CtlOptions& options) { return showOrWatch(options, "/v1/upstreams", formatRows); }

CtlResult runRollout(const CtlOptions& options) { return showOrWatch(options, "/v1/rollout", formatRows); }

} // namespace hickory

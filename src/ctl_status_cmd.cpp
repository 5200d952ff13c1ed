#include "ctl_call_io.h"
#include "ctl_cmd.h"
#include "ctl_text_func.h"

#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

namespace hickory {

namespace {

    constexpr Milliseconds operatorTimeout { 20000 };
    constexpr std::chrono::seconds watchInterval { 2 };

    /// Reads a page and formats it.
    CtlResult showPage(const CtlOptions& options, const std::string& path, std::string (*format)(const nlohmann::json&))
    {
        const Result<HttpReply> reply = callEntries(options, { .path = path, .timeout = operatorTimeout });
        if (!reply)
            return unreachableResult(reply.error());
        if (!succeeded(reply.value()))
            return failureResult(options, reply.value());
        return { .output = options.json ? reply.value().body + "\n" : format(replyJson(reply.value())) };
    }

    /// Repeats a page until the program is interrupted, if that was asked for. A failure does not end the watch.
    CtlResult watchPage(
        const CtlOptions& options, const std::string& path, std::string (*format)(const nlohmann::json&))
    {
        CtlResult result = showPage(options, path, format);
        while (options.watch) {
            std::cout << result.output << std::flush;
            if (!result.message.empty())
                std::cerr << "hickoryctl: " << result.message << std::endl;
            std::this_thread::sleep_for(watchInterval);
            result = showPage(options, path, format);
        }
        return result;
    }

} // namespace

CtlResult runStatus(const CtlOptions& options) { return watchPage(options, "/v1/status", formatStatus); }

CtlResult runUpstreams(const CtlOptions& options) { return watchPage(options, "/v1/upstreams", formatRows); }

CtlResult runRollout(const CtlOptions& options) { return watchPage(options, "/v1/rollout", formatRows); }

} // namespace hickory

#pragma once

#include "standin_http.h"

#include <string>
#include <vector>

namespace hickory::standin {

/// Outcome of a request as observed by its caller; the outcome that the system reports is hickory::Outcome.
enum class CallerOutcome {
    Ok, ///< complete response with the expected content
    NotRun, ///< failed and reported as not run
    Ran, ///< failed and reported as run
    Unknown, ///< failed without a statement whether it ran
    Broken, ///< the response ended early, and the caller could detect it
    Wrong, ///< the response seemed complete but had unexpected content
    Unreachable, ///< no connection to an entry could be made
};

/// @return name of an outcome in logs and summaries, e.g. "not_run"
std::string outcomeName(CallerOutcome outcome);

/// Compares the event stream of a stand-in engine with the expected tokens while it arrives.
class StreamChecker {
public:
    /// @param prompt prompt of the request
    /// @param maxTokens expected number of tokens
    StreamChecker(std::string prompt, std::uint64_t maxTokens);

    /// Checks the next bytes of the stream.
    /// @return number of correct tokens that were completed
    std::size_t add(const char* data, std::size_t size);
    /// @return true if all expected tokens and the final "[DONE]" event were received, and nothing else
    bool complete() const;
    /// @return a description of the first unexpected event, empty if there was none
    const std::string& mistake() const { return this->firstError; }

private:
    void check(const std::string& line);

    const std::string prompt; ///< prompt of the request
    const std::uint64_t maxTokens; ///< expected number of tokens
    std::string partialLine; ///< received bytes after the last newline
    std::string version; ///< model version of the first token, which all others must have too
    std::uint64_t nextIndex { 0 }; ///< expected index of the next token
    bool endReceived { false }; ///< the event "[DONE]" was received
    std::string firstError; ///< empty if nothing unexpected was received
};

/// Computes a quantile by the nearest-rank method.
/// @param values samples; sorted by the call
/// @param share from 0 to 1, e.g. 0.95
/// @return the quantile, 0 if there are no samples
double quantile(std::vector<double>& values, double share);

} // namespace hickory::standin

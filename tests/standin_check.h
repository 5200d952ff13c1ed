#pragma once

#include "standin_http.h"

#include <string>
#include <vector>

namespace hickory::standin {

/// How a request looks to its caller.
enum class Outcome {
    Ok, ///< the whole, right answer
    NotRun, ///< refused; the system says that it did not run
    Ran, ///< failed; the system says that it ran
    Unknown, ///< failed; the system cannot tell, or did not say
    Broken, ///< the answer was visibly cut short
    Wrong, ///< looks complete and is not the right answer
    Unreachable, ///< no entry could be connected to
};

/// @return name in logs and summaries, e.g. "not_run"
std::string outcomeName(Outcome outcome);

/// Checks an engine's event stream while it arrives.
class StreamChecker {
public:
    StreamChecker(std::string prompt, std::uint64_t maxTokens);

    /// @param data next bytes of the stream
    /// @return number of tokens that they complete
    std::size_t add(const char* data, std::size_t size);
    /// @return true when all tokens and the end mark came, each of them right
    bool complete() const;
    /// @return the first mistake, empty when none
    const std::string& mistake() const { return this->error; }

private:
    void check(const std::string& line);

    const std::string prompt; ///< the request's prompt
    const std::uint64_t maxTokens; ///< tokens expected
    std::string rest; ///< bytes of an incomplete line
    std::string version; ///< version of the first token
    std::uint64_t next { 0 }; ///< index expected next
    bool ended { false }; ///< the end mark came
    std::string error; ///< first mistake
};

/// @param values samples; sorted by this call
/// @param share e.g. 0.95
/// @return the sample below which that share lies, 0 when there are none
double quantile(std::vector<double>& values, double share);

} // namespace hickory::standin

#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace hickory::scenario {

/// A child process whose output goes to a file. It dies with the runner.
class Process {
public:
    /// @param command program and arguments
    /// @param logPath file for standard output and error; appended to
    void start(const std::vector<std::string>& command, const std::string& logPath);
    /// Sends a signal if it runs.
    void signal(int number);
    /// @return true while it has not ended
    bool running();
    /// Waits for its end.
    /// @return exit status, or 128 + signal; nothing when the time has passed
    std::optional<int> wait(std::chrono::milliseconds timeout);
    /// Waits for the line "event=listening".
    /// @param field e.g. "http"
    /// @return value of the field; throws when the process ends or the time passes
    std::string listening(const std::string& field);
    /// @return all it has written in all its lives
    std::string output() const;

    std::vector<std::string> logs; ///< one file for each life
    std::optional<int> status; ///< of the last life that ended
    bool endWanted { false }; ///< the scenario ended this life; any other end is a failure

private:
    pid_t pid { 0 }; ///< 0 before the first start and after its end
};

/// @return content of a file, empty when it cannot be read
std::string readFile(const std::string& path);

} // namespace hickory::scenario

#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace hickory::scenario {

/// A child process whose output is written to a file. The kernel kills it when the runner dies.
class Process {
public:
    /// Starts the process, also again after it ended.
    /// @param command path of the program and its arguments
    /// @param logPath file to which standard output and error are appended
    void start(const std::vector<std::string>& command, const std::string& logPath);
    /// Sends a signal if the process is running.
    void signal(int number);
    /// @return id of the process, 0 if it is not running
    pid_t id() const { return this->pid; }
    /// Reaps the process if it has ended.
    /// @return true if it is running
    bool running();
    /// Waits until the process ends.
    /// @return exit status, or 128 plus the number of the signal that killed it; nothing after the timeout
    std::optional<int> wait(std::chrono::milliseconds timeout);
    /// Waits up to 20 s until the process logs "event=listening".
    /// @param field name of a field of that line, e.g. "http"
    /// @return value of the field; throws std::runtime_error if the process ends first or the time passes
    std::string listening(const std::string& field);
    /// @return output of the process since its first start
    std::string output() const;

    std::vector<std::string> logs; ///< log file of each start, newest last
    std::optional<int> status; ///< exit status as from wait(), empty while the process is running
    bool exitExpected { false }; ///< set when a scenario kills or stops the process; any other exit is a failure

private:
    pid_t pid { 0 }; ///< 0 if the process is not running
};

/// @return content of a file, empty if it cannot be read
std::string readFile(const std::string& path);

} // namespace hickory::scenario

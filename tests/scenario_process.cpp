#include "scenario_process.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <limits>
#include <regex>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace hickory::scenario {

namespace {

    constexpr auto pollInterval = std::chrono::milliseconds(10);

} // namespace

std::string readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

void Process::start(const std::vector<std::string>& command, const std::string& logPath)
{
    this->logs.push_back(logPath);
    this->status.reset();
    this->exitExpected = false;
    std::vector<char*> arguments;
    for (const std::string& argument : command)
        arguments.push_back(const_cast<char*>(argument.c_str()));
    arguments.push_back(nullptr);
    this->pid = fork();
    if (this->pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int file = open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        dup2(file, STDOUT_FILENO);
        dup2(file, STDERR_FILENO);
        // An inherited listening socket would keep accepting for a stand-in that no longer listens.
        close_range(STDERR_FILENO + 1, std::numeric_limits<unsigned>::max(), 0);
        execv(arguments[0], arguments.data());
        _exit(127);
    }
    if (this->pid < 0)
        throw std::runtime_error("cannot start " + command[0]);
}

void Process::signal(int number)
{
    if (this->running())
        kill(this->pid, number);
}

bool Process::running()
{
    int result = 0;
    if (this->pid > 0 && waitpid(this->pid, &result, WNOHANG) == this->pid) {
        this->status = WIFEXITED(result) ? WEXITSTATUS(result) : 128 + WTERMSIG(result);
        this->pid = 0;
    }
    return this->pid > 0;
}

std::optional<int> Process::wait(std::chrono::milliseconds timeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (this->running() && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(pollInterval);
    return this->running() ? std::nullopt : this->status;
}

std::string Process::listening(const std::string& field)
{
    constexpr auto timeout = std::chrono::seconds(20);
    const std::regex line("event=listening[^\n]*[ ]" + field + "=([^ \n]+)[^\n]*\n");
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (std::chrono::steady_clock::now() < end) {
        const bool alive = this->running();
        const std::string text = readFile(this->logs.back());
        std::smatch match;
        if (std::regex_search(text, match, line))
            return match[1];
        if (!alive)
            throw std::runtime_error(this->logs.back() + " exited before it listened: " + text);
        std::this_thread::sleep_for(pollInterval);
    }
    throw std::runtime_error(this->logs.back() + " did not log event=listening in time");
}

std::string Process::output() const
{
    std::string text;
    for (const std::string& log : this->logs)
        text += readFile(log);
    return text;
}

} // namespace hickory::scenario

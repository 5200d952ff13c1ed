#pragma once

#include <chrono>
#include <cstdint>
#include <httplib.h>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

namespace hickory::standin {

using Json = nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

/// "ip:port" in two parts.
struct HostPort {
    std::string host; ///< IP address
    int port { 0 }; ///< 0 lets the kernel choose when listening

    std::string text() const;
};

/// @param text "ip:port"; throws std::invalid_argument on anything else
HostPort parseHostPort(const std::string& text);

/// @param maxThreads connections served at once; threads are started as they are needed
/// @return a server that keeps connections alive and answers 400 with the reason when a handler throws
std::unique_ptr<httplib::Server> makeServer(unsigned maxThreads);

/// Binds a server. Ends the process with status 2 when the address cannot be had.
/// @return the address that is bound
HostPort bindServer(httplib::Server& server, const std::string& listen);

/// Prints a line such as "event=listening http=127.0.0.1:4000" and flushes it.
void printListening(const std::string& fields);

/// Answers with JSON.
void reply(httplib::Response& response, int status, const Json& body);

/// Closes the connection of a request without an answer.
void dropConnection(const httplib::Request& request);

/// Gives out bandwidth or operations at a steady rate to any number of users.
class Pacer {
public:
    /// @param perSecond units a second, 0 for no limit
    void setRate(std::uint64_t perSecond);

    /// @param units bytes or operations
    /// @return time at which they may pass
    SteadyClock::time_point reserve(std::uint64_t units);

private:
    std::mutex mutex; ///< protects the members below
    std::uint64_t rate { 0 }; ///< units a second, 0 for no limit
    SteadyClock::time_point free; ///< when everything reserved so far has passed
};

} // namespace hickory::standin

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

/// An IP address with a port.
struct HostPort {
    std::string host; ///< IP address
    int port { 0 }; ///< 0 lets the kernel choose a port to listen on

    /// @return "ip:port"
    std::string text() const;
};

/// Parses "ip:port"; throws std::invalid_argument if the port is missing or not a number.
HostPort parseHostPort(const std::string& text);

/// Creates a server that keeps connections alive and answers 400 with the reason if a handler throws.
/// @param maxThreads maximum number of connections served at once; threads are started on demand
std::unique_ptr<httplib::Server> makeServer(unsigned maxThreads);

/// Binds a server. Exits the process with status 2 if the address cannot be bound.
/// @param listen "ip:port"; port 0 lets the kernel choose
/// @return the bound address
HostPort bindServer(httplib::Server& server, const std::string& listen);

/// Prints a line such as "event=listening http=127.0.0.1:4000" and flushes standard output.
/// @param fields fields after the event, e.g. "http=127.0.0.1:4000"
void printListening(const std::string& fields);

/// Fills a response with a status and a JSON body.
void reply(httplib::Response& response, int status, const Json& body);

/// Closes the connection of a request without sending a response.
void dropConnection(const httplib::Request& request);

/// Limits the rate of bytes or operations that any number of threads share.
class RateLimiter {
public:
    /// @param perSecond units per second, 0 for no limit
    void setRate(std::uint64_t perSecond);

    /// Reserves the next units; the caller waits until the returned time.
    /// @param units bytes or operations
    /// @return time at which they may proceed
    SteadyClock::time_point reserve(std::uint64_t units);

private:
    std::mutex mutex; ///< protects the members below
    std::uint64_t rate { 0 }; ///< units per second, 0 for no limit
    SteadyClock::time_point nextFree; ///< time at which all reserved units have passed
};

} // namespace hickory::standin

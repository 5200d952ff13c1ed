#pragma once

#include "http_io.h"
#include "worker_pool_func.h"

#include <httplib.h>

#include <functional>
#include <memory>
#include <string>

namespace hickory {

/// Runs cpp-httplib's connections on a WorkerPool, and refuses connections beyond its limit with a clear answer.
class HttpTaskQueue : public httplib::TaskQueue {
public:
    /// @param workers connections served at once
    explicit HttpTaskQueue(unsigned workers);

    void enqueue(std::function<void()> task) override;
    void shutdown() override;

    /// @return true when callers shall not keep idle connections, because each occupies a worker
    bool busy() const;

    /// @return true on a thread that serves a connection beyond the limit
    static bool overloaded();

private:
    WorkerPool pool; ///< serves connections
    WorkerPool overflow; ///< answers connections beyond the limit
};

/// Splits "ip:port".
/// @return host and port
/// @throws std::runtime_error when there is no valid port
std::pair<std::string, int> splitAddress(const std::string& address);

/// Binds a server.
/// @return bound port
/// @throws std::runtime_error when the address cannot be bound
unsigned bindServer(httplib::Server& server, const std::string& listen);

/// Adds /metrics, /healthz and /readyz.
void addStatusPages(httplib::Server& server, std::function<ProcessHealth()> health);

/// Finds out whether the peer of a connection of this process has closed it. cpp-httplib does not give handlers
/// their socket, so it is looked up by the peer's address.
class ConnectionProbe {
public:
    /// @param request a request whose handler runs on the calling thread
    explicit ConnectionProbe(const httplib::Request& request);

    /// @return true when the peer closed the connection
    bool closed();

private:
    std::string address; ///< peer's IP address
    int port; ///< peer's port
    int descriptor { -1 }; ///< socket, -1 before the first look-up
};

} // namespace hickory

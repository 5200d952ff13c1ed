#pragma once

#include "http_io.h"
#include "worker_pool_func.h"

#include <httplib.h>

#include <functional>
#include <memory>
#include <string>

namespace hickory {

/// Runs the connections of a cpp-httplib server on a WorkerPool. Connections beyond the pool's limit run on a few extra
/// threads, where handlers see overloaded() and refuse the request.
class HttpTaskQueue : public httplib::TaskQueue {
public:
    /// @param workers connections served at once
    explicit HttpTaskQueue(unsigned workers);

    /// Runs a connection on the pool, or on an overflow thread when the pool is saturated.
    void enqueue(std::function<void()> task) override;
    /// Waits until all connections have ended.
    void shutdown() override;

    /// @return true when answers should close their connections, because each idle connection occupies a worker
    bool busy() const;

    /// @return true when the calling thread serves a connection beyond the limit
    static bool overloaded();

private:
    WorkerPool pool; ///< serves connections within the limit
    WorkerPool overflow; ///< refuses connections beyond the limit
};

/// Splits "ip:port".
/// @return host and port
/// @throws std::runtime_error when there is no valid port
std::pair<std::string, int> splitAddress(const std::string& address);

/// Binds a server to an address.
/// @param listen "ip:port", port 0 lets the kernel choose
/// @return bound port
/// @throws std::runtime_error when the address cannot be bound
unsigned bindServer(httplib::Server& server, const std::string& listen);

/// Adds handlers for /metrics, /healthz and /readyz.
/// @param health called from any thread
void addStatusPages(httplib::Server& server, std::function<ProcessHealth()> health);

/// Detects that the client of a request has closed its connection. cpp-httplib does not give handlers the socket, so it
/// is found by the client's address among the descriptors of this process.
class ConnectionProbe {
public:
    /// @param request a request whose handler runs on the calling thread
    explicit ConnectionProbe(const httplib::Request& request);

    /// @return true when the peer closed the connection
    bool closed();

private:
    std::string address; ///< IP address of the client
    int port; ///< port of the client
    int descriptor { -1 }; ///< socket, -1 until it was found
};

} // namespace hickory

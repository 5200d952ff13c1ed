#include "http_server_func.h"

#include "metrics_io.h"

#include <arpa/inet.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <cerrno>
#include <stdexcept>

namespace hickory {

namespace {

    /// Threads that refuse connections beyond the limit.
    constexpr unsigned overflowThreads = 16;

    /// Share of busy workers at which answers begin to close their connections.
    constexpr double busyThreshold = 0.5;

    /// True on threads that serve connections beyond the limit.
    thread_local bool servingOverflow = false;

    /// Upper limit of the descriptors that are searched for a socket.
    constexpr int maxDescriptor = 65536;

    /// @return whether a descriptor is a socket connected to the given peer
    bool isConnectedTo(int descriptor, const std::string& address, int port)
    {
        sockaddr_storage peer {};
        socklen_t length = sizeof(peer);
        if (getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &length) != 0)
            return false;
        char text[INET6_ADDRSTRLEN] {};
        if (peer.ss_family == AF_INET) {
            const auto* inet = reinterpret_cast<const sockaddr_in*>(&peer);
            inet_ntop(AF_INET, &inet->sin_addr, text, sizeof(text));
            return ntohs(inet->sin_port) == port && address == text;
        }
        if (peer.ss_family == AF_INET6) {
            const auto* inet = reinterpret_cast<const sockaddr_in6*>(&peer);
            inet_ntop(AF_INET6, &inet->sin6_addr, text, sizeof(text));
            return ntohs(inet->sin6_port) == port && address == text;
        }
        return false;
    }

    /// @return the socket connected to the given peer, or -1
    int findDescriptor(const std::string& address, int port)
    {
        rlimit limit {};
        getrlimit(RLIMIT_NOFILE, &limit);
        const int end = static_cast<int>(std::min<rlim_t>(limit.rlim_cur, maxDescriptor));
        for (int descriptor = 3; descriptor < end; ++descriptor)
            if (isConnectedTo(descriptor, address, port))
                return descriptor;
        return -1;
    }

} // namespace

HttpTaskQueue::HttpTaskQueue(unsigned workers)
    : pool(workers)
    , overflow(overflowThreads)
{
}

void HttpTaskQueue::enqueue(std::function<void()> task)
{
    if (!this->pool.saturated()) {
        this->pool.enqueue(std::move(task));
        return;
    }
    this->overflow.enqueue([task = std::move(task)] {
        servingOverflow = true;
        task();
    });
}

void HttpTaskQueue::shutdown()
{
    this->pool.shutdown();
    this->overflow.shutdown();
}

bool HttpTaskQueue::busy() const { return this->pool.busyShare() >= busyThreshold; }

bool HttpTaskQueue::overloaded() { return servingOverflow; }

std::pair<std::string, int> splitAddress(const std::string& address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos)
        throw std::runtime_error("address has no port: " + address);
    return { address.substr(0, colon), std::stoi(address.substr(colon + 1)) };
}

unsigned bindServer(httplib::Server& server, const std::string& listen)
{
    const auto [host, port] = splitAddress(listen);
    if (port == 0) {
        const int bound = server.bind_to_any_port(host);
        if (bound > 0)
            return static_cast<unsigned>(bound);
    } else if (server.bind_to_port(host, port)) {
        return static_cast<unsigned>(port);
    }
    throw std::runtime_error("cannot listen on " + listen);
}

void addStatusPages(httplib::Server& server, std::function<ProcessHealth()> health)
{
    server.Get("/metrics", [](const httplib::Request&, httplib::Response& response) {
        response.set_content(metricsPage(), "text/plain; version=0.0.4");
    });
    server.Get("/healthz",
        [](const httplib::Request&, httplib::Response& response) { response.set_content("ok\n", "text/plain"); });
    server.Get("/readyz", [health = std::move(health)](const httplib::Request&, httplib::Response& response) {
        const bool ready = health().ready;
        response.status = ready ? 200 : 503;
        response.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
    });
}

ConnectionProbe::ConnectionProbe(const httplib::Request& request)
    : address(request.remote_addr)
    , port(request.remote_port)
{
}

bool ConnectionProbe::closed()
{
    if (this->descriptor < 0)
        this->descriptor = findDescriptor(this->address, this->port);
    if (this->descriptor < 0)
        return false;
    char byte = 0;
    const auto count = recv(this->descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

} // namespace hickory

#include "standin_http.h"

#include <arpa/inet.h>
#include <condition_variable>
#include <deque>
#include <functional>
#include <iostream>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>

namespace hickory::standin {

namespace {

    /// Serves each connection on its own thread. An idle connection occupies its thread, so threads are started on
    /// demand: a fixed pool would be too small for a large fleet or give each small stand-in hundreds of unused
    /// threads.
    class OnDemandThreadPool : public httplib::TaskQueue {
    public:
        explicit OnDemandThreadPool(unsigned maxThreads)
            : maxThreads(maxThreads)
        {
        }

        void enqueue(std::function<void()> task) override
        {
            const std::lock_guard lock(this->mutex);
            this->tasks.push_back(std::move(task));
            if (this->tasks.size() > this->idle && this->threads.size() < this->maxThreads)
                this->threads.emplace_back([this] { this->work(); });
            this->taskAvailable.notify_one();
        }

        void shutdown() override
        {
            {
                const std::lock_guard lock(this->mutex);
                this->stopping = true;
            }
            this->taskAvailable.notify_all();
            for (std::thread& thread : this->threads)
                thread.join();
        }

    private:
        /// Runs tasks until the pool shuts down.
        void work()
        {
            std::unique_lock lock(this->mutex);
            while (true) {
                ++this->idle;
                this->taskAvailable.wait(lock, [this] { return this->stopping || !this->tasks.empty(); });
                --this->idle;
                if (this->tasks.empty())
                    return;
                const std::function<void()> task = std::move(this->tasks.front());
                this->tasks.pop_front();
                lock.unlock();
                task();
                lock.lock();
            }
        }

        const unsigned maxThreads; ///< further connections wait until a thread is idle
        std::mutex mutex; ///< protects all members below
        std::condition_variable taskAvailable; ///< notified when a task was queued or the pool shuts down
        std::deque<std::function<void()>> tasks; ///< queued tasks, each serves one accepted connection
        std::vector<std::thread> threads; ///< joined by shutdown()
        std::size_t idle { 0 }; ///< number of threads that wait for a task
        bool stopping { false }; ///< set by shutdown()
    };

} // namespace

std::string HostPort::text() const { return this->host + ":" + std::to_string(this->port); }

HostPort parseHostPort(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon + 1 == text.size())
        throw std::invalid_argument("not ip:port: " + text);
    return { .host = text.substr(0, colon), .port = std::stoi(text.substr(colon + 1)) };
}

std::unique_ptr<httplib::Server> makeServer(unsigned maxThreads)
{
    constexpr int keepAliveSeconds = 60;
    auto server = std::make_unique<httplib::Server>();
    server->new_task_queue = [maxThreads] { return new OnDemandThreadPool(maxThreads); };
    server->set_keep_alive_max_count(1'000'000'000);
    server->set_keep_alive_timeout(keepAliveSeconds);
    server->set_tcp_nodelay(true);
    server->set_exception_handler([](const httplib::Request&, httplib::Response& response, std::exception_ptr error) {
        try {
            std::rethrow_exception(std::move(error));
        } catch (const std::exception& exception) {
            reply(response, 400, { { "error", exception.what() } });
        }
    });
    return server;
}

HostPort bindServer(httplib::Server& server, const std::string& listen)
{
    HostPort address = parseHostPort(listen);
    if (address.port == 0)
        address.port = server.bind_to_any_port(address.host);
    else if (!server.bind_to_port(address.host, address.port))
        address.port = -1;
    if (address.port <= 0) {
        std::cerr << "event=bind-failed address=" << listen << std::endl;
        std::exit(2);
    }
    return address;
}

void printListening(const std::string& fields) { std::cout << "event=listening " << fields << std::endl; }

void reply(httplib::Response& response, int status, const Json& body)
{
    response.status = status;
    response.set_content(body.dump(), "application/json");
}

void dropConnection(const httplib::Request& request)
{
    // cpp-httplib does not give a handler access to its socket, so all descriptors are searched for the peer's port.
    constexpr int maxDescriptors = 65536;
    for (int descriptor = 3; descriptor < maxDescriptors; ++descriptor) {
        sockaddr_in peer {};
        socklen_t size = sizeof(peer);
        if (getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &size) == 0 && peer.sin_family == AF_INET
            && ntohs(peer.sin_port) == request.remote_port)
            shutdown(descriptor, SHUT_RDWR);
    }
}

void RateLimiter::setRate(std::uint64_t perSecond)
{
    const std::lock_guard lock(this->mutex);
    this->rate = perSecond;
}

SteadyClock::time_point RateLimiter::reserve(std::uint64_t units)
{
    const std::lock_guard lock(this->mutex);
    const auto now = SteadyClock::now();
    if (this->rate == 0)
        return now;
    this->nextFree = std::max(this->nextFree, now)
        + std::chrono::nanoseconds(
            static_cast<std::int64_t>(1e9 * static_cast<double>(units) / static_cast<double>(this->rate)));
    return this->nextFree;
}

} // namespace hickory::standin

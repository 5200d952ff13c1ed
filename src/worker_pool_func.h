#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace hickory {

/// Pool that starts threads on demand, up to a limit. Safe from any thread.
class WorkerPool {
public:
    /// @param maxThreads maximum number of threads, at least 1
    explicit WorkerPool(unsigned maxThreads);
    ~WorkerPool();
    WorkerPool(const WorkerPool&) = delete;
    WorkerPool& operator=(const WorkerPool&) = delete;

    /// Runs a task on an idle or new thread; queues it when all threads are busy. Tasks given after shutdown() are
    /// dropped.
    void enqueue(std::function<void()> task);

    /// @return true when the maximum number of threads is reached and more tasks are queued than threads are idle
    bool saturated() const;

    /// @return busy threads divided by the maximum number of threads, 0 to 1
    double busyShare() const;

    /// Runs the queued tasks, then ends all threads and waits for them.
    void shutdown();

private:
    /// Body of a thread: runs tasks until shutdown.
    void work();

    mutable std::mutex mutex; ///< guards the members below
    std::condition_variable ready; ///< signalled for each queued task and on shutdown
    std::deque<std::function<void()>> tasks; ///< not yet started, oldest first
    std::vector<std::thread> threads; ///< joined by shutdown()
    unsigned maxThreads; ///< maximum number of threads
    unsigned idle { 0 }; ///< number of threads that wait for a task
    bool stopping { false }; ///< shutdown() was called
};

} // namespace hickory

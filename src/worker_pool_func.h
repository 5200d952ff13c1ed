#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace hickory {

/// Threads that are started when work waits and none is idle, up to a limit. Safe from any thread.
class WorkerPool {
public:
    /// @param maxThreads most threads
    explicit WorkerPool(unsigned maxThreads);
    ~WorkerPool();
    WorkerPool(const WorkerPool&) = delete;
    WorkerPool& operator=(const WorkerPool&) = delete;

    /// Queues a task; tasks beyond the limit of threads wait.
    void enqueue(std::function<void()> task);

    /// @return true when all threads that may run are busy and tasks wait
    bool saturated() const;

    /// @return share of the threads that may run which are busy, 0 to 1
    double busyShare() const;

    /// Runs what is queued, then ends all threads.
    void shutdown();

private:
    void work();

    mutable std::mutex mutex; ///< guards the fields below
    std::condition_variable ready; ///< signals a task or the end
    std::deque<std::function<void()>> tasks; ///< waiting
    std::vector<std::thread> threads; ///< started
    unsigned maxThreads; ///< limit
    unsigned idle { 0 }; ///< threads that wait for a task
    bool stopping { false }; ///< shutdown was called
};

} // namespace hickory

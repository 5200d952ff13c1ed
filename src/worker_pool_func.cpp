#include "worker_pool_func.h"

namespace hickory {

WorkerPool::WorkerPool(unsigned maxThreads)
    : maxThreads(maxThreads)
{
}

WorkerPool::~WorkerPool() { this->shutdown(); }

void WorkerPool::enqueue(std::function<void()> task)
{
    const std::lock_guard lock(this->mutex);
    if (this->stopping)
        return;
    this->tasks.push_back(std::move(task));
    if (this->tasks.size() > this->idle && this->threads.size() < this->maxThreads)
        this->threads.emplace_back([this] { this->work(); });
    else
        this->ready.notify_one();
}

bool WorkerPool::saturated() const
{
    const std::lock_guard lock(this->mutex);
    return this->threads.size() >= this->maxThreads && this->tasks.size() > this->idle;
}

double WorkerPool::busyShare() const
{
    const std::lock_guard lock(this->mutex);
    return static_cast<double>(this->threads.size() - this->idle) / this->maxThreads;
}

void WorkerPool::shutdown()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->ready.notify_all();
    for (std::thread& thread : this->threads)
        if (thread.joinable())
            thread.join();
    this->threads.clear();
}

void WorkerPool::work()
{
    std::unique_lock lock(this->mutex);
    while (true) {
        ++this->idle;
        this->ready.wait(lock, [this] { return this->stopping || !this->tasks.empty(); });
        --this->idle;
        if (this->tasks.empty())
            return;
        const auto task = std::move(this->tasks.front());
        this->tasks.pop_front();
        lock.unlock();
        task();
        lock.lock();
    }
}

} // namespace hickory

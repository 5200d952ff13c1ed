#include "request_table_io.h"

#include <random>

namespace hickory {

namespace {

    /// Bytes that wait for a slow caller before the agent is slowed down.
    constexpr std::size_t maxBufferedBytes = 256 * 1024;

    std::uint64_t drawRequestId()
    {
        thread_local std::mt19937_64 generator { std::random_device {}() };
        return generator();
    }

} // namespace

std::shared_ptr<PendingRequest> RequestTable::add(RequestPayload payload)
{
    auto pending = std::make_shared<PendingRequest>();
    pending->payload = std::move(payload);
    const std::lock_guard lock(this->mutex);
    do {
        pending->request = { drawRequestId() };
    } while (!this->requests.emplace(pending->request, pending).second);
    return pending;
}

std::shared_ptr<PendingRequest> RequestTable::find(RequestId request) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->requests.find(request);
    return found == this->requests.end() ? nullptr : found->second;
}

void RequestTable::remove(RequestId request)
{
    const std::lock_guard lock(this->mutex);
    this->requests.erase(request);
}

bool RequestTable::openAttempt(RequestId request, Attempt attempt)
{
    const auto pending = this->find(request);
    if (!pending)
        return false;
    const std::lock_guard lock(pending->mutex);
    pending->attempt = attempt;
    return true;
}

std::uint32_t RequestTable::closeAttempt(RequestId request, Attempt attempt)
{
    const auto pending = this->find(request);
    if (!pending)
        return 0;
    const std::lock_guard lock(pending->mutex);
    if (pending->attempt == attempt)
        pending->attempt = {};
    return pending->nextSequence;
}

PartVerdict RequestTable::takePart(RequestId request, Attempt attempt, std::uint32_t sequence, std::string data,
    std::uint16_t status, const std::string& contentType)
{
    const auto pending = this->find(request);
    if (!pending)
        return PartVerdict::Dropped;
    const std::lock_guard lock(pending->mutex);
    if (pending->attempt != attempt || sequence != pending->nextSequence || pending->end)
        return PartVerdict::Dropped;
    if (pending->bufferedBytes > maxBufferedBytes)
        return PartVerdict::Full;
    const bool first = pending->nextSequence == 0;
    if (first) {
        pending->status = status;
        pending->contentType = contentType;
    }
    ++pending->nextSequence;
    pending->bufferedBytes += data.size();
    pending->parts.push_back(std::move(data));
    pending->changed.notify_all();
    return first ? PartVerdict::First : PartVerdict::Taken;
}

void RequestTable::finish(RequestId request, AnswerEnd end)
{
    const auto pending = this->find(request);
    if (!pending)
        return;
    const std::lock_guard lock(pending->mutex);
    if (pending->end)
        return;
    pending->attempt = {};
    pending->end = std::move(end);
    pending->changed.notify_all();
}

} // namespace hickory

#include "request_table_io.h"

#include <random>

namespace hickory {

namespace {

    /// Bytes buffered for a slow caller before further parts are refused, which slows the agent down.
    constexpr std::size_t maxBufferedBytes = 256 * 1024;

    std::uint64_t generateRequestId()
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
        pending->request = { generateRequestId() };
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
    pending->resumedAt = pending->nextSequence;
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

bool RequestTable::hasBegun(RequestId request) const
{
    const auto pending = this->find(request);
    if (!pending)
        return false;
    const std::lock_guard lock(pending->mutex);
    return pending->nextSequence > 0;
}

bool RequestTable::empty() const
{
    const std::lock_guard lock(this->mutex);
    return this->requests.empty();
}

PartResult RequestTable::takePart(RequestId request, Attempt attempt, std::uint32_t sequence, std::string data,
    std::uint16_t status, const std::string& contentType)
{
    const auto pending = this->find(request);
    if (!pending)
        return PartResult::Dropped;
    const std::lock_guard lock(pending->mutex);
    const bool recorded = sequence == 0 && pending->resumedAt > 0 && pending->nextSequence == pending->resumedAt
        && data.size() >= pending->acceptedBytes;
    if (pending->attempt != attempt || (sequence != pending->nextSequence && !recorded) || pending->end)
        return PartResult::Dropped;
    if (pending->bufferedBytes > maxBufferedBytes)
        return PartResult::Full;
    const bool first = pending->nextSequence == 0;
    if (first) {
        pending->status = status;
        pending->contentType = contentType;
    }
    if (recorded)
        data.erase(0, pending->acceptedBytes);
    ++pending->nextSequence;
    pending->acceptedBytes += data.size();
    pending->bufferedBytes += data.size();
    pending->parts.push_back(std::move(data));
    pending->changed.notify_all();
    return first ? PartResult::First : PartResult::Taken;
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

#include "relay_budget_func.h"

#include "table/relay_limits.h"

#include <algorithm>

namespace hickory {

namespace {

    RetryWindow::Bucket& currentBucket(RetryWindow& window, Milliseconds now, Milliseconds length)
    {
        while (!window.buckets.empty() && now - window.buckets.front().start > length)
            window.buckets.pop_front();
        if (window.buckets.empty() || now - window.buckets.back().start >= retryBucketLength)
            window.buckets.push_back({ .start = now });
        return window.buckets.back();
    }

} // namespace

void countFirstSend(RetryWindow& window, Milliseconds now, Milliseconds length)
{
    ++currentBucket(window, now, length).firstSends;
}

bool mayRetry(const RetryWindow& window, const RelayOptions& options, std::uint32_t entries, Milliseconds now)
{
    double firstSends = 0;
    double retries = 0;
    for (const RetryWindow::Bucket& bucket : window.buckets) {
        if (now - bucket.start > options.retryWindow)
            continue;
        firstSends += bucket.firstSends;
        retries += bucket.retries;
    }
    const double allowed = retryBudgetShare
        * (options.retryRatio * firstSends + options.retryExtra / std::max<std::uint32_t>(entries, 1));
    return retries + 1 <= allowed;
}

bool takeRetry(RetryWindow& window, const RelayOptions& options, std::uint32_t entries, Milliseconds now)
{
    RetryWindow::Bucket& current = currentBucket(window, now, options.retryWindow);
    if (!mayRetry(window, options, entries, now))
        return false;
    ++current.retries;
    return true;
}

} // namespace hickory

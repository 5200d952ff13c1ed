#include "limit_share_func.h"

#include <algorithm>

namespace hickory {

double shareOf(const SharedLimit& limit) { return limit.sharesHere ? limit.requestsPerSecond / limit.sharers : 0; }

double allowanceAt(const SharedLimit& limit, const LimitAllowance& allowance, Milliseconds now)
{
    constexpr double millisecondsPerSecond = 1000.0;
    const double passed = static_cast<double>((now - allowance.refilledAt).value) / millisecondsPerSecond;
    return std::min(limit.most, allowance.requests + passed * shareOf(limit));
}

void spendAllowance(const SharedLimit& limit, LimitAllowance& allowance, double requests, Milliseconds now)
{
    allowance.requests = allowanceAt(limit, allowance, now) - requests;
    allowance.refilledAt = now;
}

} // namespace hickory

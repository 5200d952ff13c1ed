#pragma once

namespace hickory {

/// Requests, queues, upstream views, retry budgets and crash suspicions at an entry.
struct RequestState { };

} // namespace hickory

#pragma once

#include <cstdint>

namespace hickory {

/// Share, in fifths, of a connection's idle time-out for which its caller may leave it unused. The platform's protocol
/// names it; the rest is for the way of the last answer to the caller and of the next request to the server.
constexpr std::int64_t reusableFifths = 4;

} // namespace hickory

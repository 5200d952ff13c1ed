#pragma once

#include <cstdint>

namespace hickory {

/// Why a connection to a server could not be opened.
enum class ConnectFailure : std::uint8_t {
    Refused, ///< the server's host refused or reset it: the server does not run there
    Unanswered, ///< no answer came in time: the server, its host or a link may be at fault, or a packet was lost
    Local, ///< this process could not open it, e.g. it has no descriptor left
};

} // namespace hickory

#pragma once

#include "error_type.h"
#include "peer_type.h"

#include <string>
#include <string_view>

namespace hickory {

/// @return the beacon as a packed Cap'n Proto message
std::string encodeBeacon(const PeerBeacon& beacon);

/// @param bytes one datagram
/// @return the beacon, or Protocol when the bytes are not a whole beacon
Result<PeerBeacon> decodeBeacon(std::string_view bytes);

} // namespace hickory

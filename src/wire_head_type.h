#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hickory {

/// One header field of an HTTP message, as received.
struct WireHeader {
    std::string name; ///< as spelled by the sender
    std::string value; ///< without surrounding white space
};

/// Start line and header fields of an HTTP/1.1 request or response.
struct WireHead {
    std::string method; ///< requests only
    std::string target; ///< requests only: path and query
    std::uint16_t status { 0 }; ///< responses only
    std::string reason; ///< responses only: reason phrase
    std::vector<WireHeader> headers; ///< in order of arrival

    /// @param name name of a header field, compared without regard to case
    /// @return the value of the first field of that name, or nullptr when there is none
    const std::string* find(std::string_view name) const;
};

/// @return whether an HTTP status is a success
constexpr bool isSuccess(std::uint16_t status)
{
    constexpr std::uint16_t first = 200;
    constexpr std::uint16_t end = 300;
    return status >= first && status < end;
}

/// Compares header names and similar tokens without regard to ASCII case.
bool equalNames(std::string_view left, std::string_view right);

/// @param name name of a header field
/// @return true when the field concerns a single connection and must not be forwarded
bool isHopByHop(std::string_view name);

} // namespace hickory

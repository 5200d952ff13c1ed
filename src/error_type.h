#pragma once

#include <string>
#include <system_error>
#include <utility>
#include <variant>

namespace hickory {

/// Error conditions that all programs of the project share.
enum class ErrorCode {
    InvalidSettings = 1, ///< a settings file is malformed or a value is out of range
    InvalidConfig, ///< the operators' configuration text is malformed or inconsistent
    Unavailable, ///< a peer or a platform service did not answer
    Conflict, ///< a compare-and-set found another version than expected
    NotFound, ///< the named object does not exist
    Corrupt, ///< data does not match its digest
    Timeout, ///< no answer arrived before the deadline
    Protocol, ///< a peer sent a message that violates the protocol
};

/// @return the std::error_category of ErrorCode values
const std::error_category& errorCategory();

/// Makes ErrorCode convert to std::error_code.
std::error_code make_error_code(ErrorCode code); // NOLINT(readability-identifier-naming): name fixed by the standard

/// Error::step of a failed connection attempt, which means that nothing was sent.
constexpr const char* connectStep = "connect";
/// Error::step of an answer that was given up when a part of its body had arrived.
constexpr const char* readBodyStep = "read-body";

/// A failure, with the operation and the peer at which it occurred.
struct Error {
    std::error_code code;
    std::string step; ///< operation that failed, e.g. "read-call-row"
    std::string peer; ///< host, address or file involved, empty when none
    std::string detail; ///< human-readable details, may be empty

    /// @return one line for logs and messages: "<code> step=<step> peer=<peer>: <detail>". The peer and the detail
    /// are left out when empty.
    std::string text() const;
};

/// The value that an operation returned, or the error that it failed with.
template <typename Value> class Result {
public:
    Result(Value value)
        : content(std::move(value))
    {
    }
    Result(Error error)
        : content(std::move(error))
    {
    }

    bool ok() const { return std::holds_alternative<Value>(this->content); }
    explicit operator bool() const { return this->ok(); }

    /// @pre ok()
    Value& value() { return std::get<Value>(this->content); }
    /// @pre ok()
    const Value& value() const { return std::get<Value>(this->content); }
    /// @pre !ok()
    const Error& error() const { return std::get<Error>(this->content); }

private:
    std::variant<Value, Error> content;
};

} // namespace hickory

template <> struct std::is_error_code_enum<hickory::ErrorCode> : std::true_type {
};

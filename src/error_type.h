#pragma once

#include <string>
#include <system_error>
#include <utility>
#include <variant>

namespace hickory {

/// Error conditions of this program.
enum class ErrorCode {
    InvalidSettings = 1, ///< a settings file is malformed or a value is out of range
    InvalidConfig, ///< the operators' text is malformed or inconsistent
    Unavailable, ///< a peer or the platform did not answer
    Conflict, ///< a compare-and-set found another version
    NotFound, ///< the named object does not exist
    Corrupt, ///< data does not match its digest
    Timeout, ///< no answer arrived before the deadline
    Protocol, ///< a peer sent something unexpected
};

/// @return the category of ErrorCode values
const std::error_category& errorCategory();

/// @param code condition
/// @return the condition as a std::error_code
std::error_code make_error_code(ErrorCode code); // NOLINT(readability-identifier-naming): name fixed by the standard

/// A failure with the step and the peer at which it arose.
struct Error {
    std::error_code code; ///< condition
    std::string step; ///< what was being done, e.g. "read-call-row"
    std::string peer; ///< host, address or file involved, empty when none
    std::string detail; ///< human-readable addition, may be empty

    /// @return one line with code, step, peer and detail
    std::string text() const;
};

/// A value or the error that prevented it.
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
    std::variant<Value, Error> content; ///< value or error
};

} // namespace hickory

template <> struct std::is_error_code_enum<hickory::ErrorCode> : std::true_type {
};

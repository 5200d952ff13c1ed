#include "error_type.h"

namespace hickory {

namespace {

    class ErrorCategory : public std::error_category {
    public:
        const char* name() const noexcept override { return "hickoryroad"; }

        std::string message(int value) const override
        {
            switch (static_cast<ErrorCode>(value)) {
            case ErrorCode::InvalidSettings:
                return "invalid settings";
            case ErrorCode::InvalidConfig:
                return "invalid configuration";
            case ErrorCode::Unavailable:
                return "unavailable";
            case ErrorCode::Conflict:
                return "conflict";
            case ErrorCode::NotFound:
                return "not found";
            case ErrorCode::Corrupt:
                return "corrupt data";
            case ErrorCode::Timeout:
                return "timeout";
            case ErrorCode::Protocol:
                return "protocol error";
            }
            return "unknown error";
        }
    };

} // namespace

const std::error_category& errorCategory()
{
    static const ErrorCategory category;
    return category;
}

std::error_code make_error_code(ErrorCode code) // NOLINT(readability-identifier-naming)
{
    return { static_cast<int>(code), errorCategory() };
}

std::string Error::text() const
{
    std::string line = this->code.message() + " step=" + this->step;
    if (!this->peer.empty())
        line += " peer=" + this->peer;
    if (!this->detail.empty())
        line += ": " + this->detail;
    return line;
}

} // namespace hickory

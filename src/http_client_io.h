#pragma once

#include "clock_type.h"
#include "error_type.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hickory {

/// Step of an error before which nothing was sent.
constexpr const char* connectStep = "connect";

/// One HTTP call of a client.
struct HttpCall {
    std::string method { "GET" }; ///< GET, PUT, POST or DELETE
    std::string path; ///< path and query, already percent-encoded
    std::vector<std::pair<std::string, std::string>> headers; ///< further headers
    std::string body; ///< may be empty
    std::string contentType { "application/json" }; ///< of the body
    Milliseconds timeout { 2000 }; ///< until the whole answer
    std::function<bool(std::string_view)> onPart; ///< receives the body of a 2xx answer in pieces; false stops
};

/// Answer to an HttpCall.
struct HttpReply {
    std::uint16_t status { 0 }; ///< HTTP status
    std::string body; ///< empty when it went to HttpCall::onPart
    std::vector<std::pair<std::string, std::string>> headers; ///< as received
};

/// A keep-alive connection to one HTTP server. Used by one thread at a time.
class HttpConnection {
public:
    /// @param url "http://ip:port" or "https://ip:port"
    /// @param authority PEM path of the authority that signed an https server's certificate, empty for the system's
    explicit HttpConnection(const std::string& url, const std::string& authority = {});
    ~HttpConnection();
    HttpConnection(const HttpConnection&) = delete;
    HttpConnection& operator=(const HttpConnection&) = delete;

    /// Sends a call and waits for its answer. A GET whose connection had been closed by the server is sent again once;
    /// anything else is sent at most once.
    /// @return the answer, or Unavailable or Timeout with the URL as peer; the step is connectStep when nothing was
    /// sent
    Result<HttpReply> send(const HttpCall& call);

private:
    struct State;
    std::unique_ptr<State> state; ///< the library's client
};

/// Percent-encodes all but unreserved characters.
/// @param text raw text
/// @param keepSlashes leaves "/" as it is, for paths
std::string percentEncode(std::string_view text, bool keepSlashes);

} // namespace hickory

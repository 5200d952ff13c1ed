#pragma once

#include "clock_type.h"
#include "error_type.h"
#include "table/answer_limits.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hickory {

/// One HTTP request of a client.
struct HttpCall {
    std::string method { "GET" }; ///< GET, PUT, POST or DELETE
    std::string path; ///< path and query, already percent-encoded
    std::vector<std::pair<std::string, std::string>> headers; ///< further header fields as name and value
    std::string body; ///< empty for none
    std::string contentType { "application/json" }; ///< type of the body, unused when it is empty
    std::size_t maxAnswerBody { maxReplyBody }; ///< bytes; a longer answer is an error, unless onPart is set
    Milliseconds timeout { 2000 }; ///< time until the answer must be complete
    std::function<bool(std::string_view)> onPart; ///< receives the body of a 2xx answer in parts; false aborts
};

/// Answer to an HttpCall, with a length or in chunks.
struct HttpReply {
    std::uint16_t status { 0 };
    std::string body; ///< empty when it was passed to HttpCall::onPart
    std::vector<std::pair<std::string, std::string>> headers; ///< name and value of each field
};

/// A keep-alive connection to one HTTP server, with blocking calls. Not safe for concurrent use. Used by hickoryctl and
/// by the worker threads of EntryLoop and AgentLoop; RelayLoop and LoaderLoop use CallPool.
class HttpConnection {
public:
    /// @param url "http://ip:port" or "https://ip:port"
    /// @param authority path of a PEM file with the CA certificate for https, empty for the system's CA certificates
    explicit HttpConnection(const std::string& url, const std::string& authority = {});
    ~HttpConnection();
    HttpConnection(const HttpConnection&) = delete;
    HttpConnection& operator=(const HttpConnection&) = delete;

    /// Sends a request and waits for the answer. A GET that fails on a reused connection, which the server may have
    /// closed meanwhile, is retried once unless onPart is set. Any other request is sent at most once.
    /// @return the answer of any status, or Unavailable or Timeout with the URL as peer; the step is connectStep when
    /// nothing was sent
    Result<HttpReply> send(const HttpCall& call);

private:
    struct State;
    std::unique_ptr<State> state; ///< cpp-httplib client
};

/// Percent-encodes all characters except the unreserved ones of RFC 3986.
/// @param keepSlashes also leave "/" unencoded, for paths
std::string percentEncode(std::string_view text, bool keepSlashes);

} // namespace hickory

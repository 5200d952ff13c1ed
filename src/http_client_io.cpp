#include "http_client_io.h"

#include "answer_end_func.h"

#include <algorithm>
#include <condition_variable>
#include <httplib.h>
#include <mutex>
#include <thread>

namespace hickory {

struct HttpConnection::State {
    State(const std::string& url, const std::string& authority)
        : url(url)
        , client(url)
    {
        this->client.set_keep_alive(true);
        this->client.set_tcp_nodelay(true);
        this->client.set_url_encode(false); // HttpCall::path is already encoded
        if (!authority.empty())
            this->client.set_ca_cert_path(authority);
    }

    std::string url; ///< server URL for error messages
    httplib::Client client;
    bool used { false }; ///< the last call succeeded, so the socket is reused and may have been closed by the server
};

HttpConnection::HttpConnection(const std::string& url, const std::string& authority)
    : state(std::make_unique<State>(url, authority))
{
}

HttpConnection::~HttpConnection() = default;

namespace {

    /// Ends a client's call at a deadline. The library's timeouts apply to each read, and it reads a head for as long
    /// as the server sends one.
    class DeadlineGuard {
    public:
        DeadlineGuard(httplib::Client& client, Milliseconds deadline)
            : thread([this, &client, deadline] {
                std::unique_lock lock(this->mutex);
                const std::chrono::milliseconds left((deadline - monotonicNow()).value);
                if (!this->ended.wait_for(lock, left, [this] { return this->done; }))
                    client.stop();
            })
        {
        }
        ~DeadlineGuard()
        {
            {
                const std::lock_guard lock(this->mutex);
                this->done = true;
            }
            this->ended.notify_one();
            this->thread.join();
        }
        DeadlineGuard(const DeadlineGuard&) = delete;
        DeadlineGuard& operator=(const DeadlineGuard&) = delete;

    private:
        std::mutex mutex; ///< guards `done`
        std::condition_variable ended; ///< signals that `done` was set
        bool done { false }; ///< the call has ended
        std::thread thread; ///< waits for the deadline
    };

    /// Outcome of sending a request once.
    struct Transmission {
        HttpReply reply; ///< valid when error is Success
        httplib::Error error { httplib::Error::Unknown }; ///< Success, or why the transmission failed
        bool deadlinePassed { false }; ///< the deadline passed while the answer was being received
        bool tooLong { false }; ///< the answer exceeds HttpCall::maxAnswerBody
        bool unconfirmed { false }; ///< nothing shows that the answer is complete
    };

    Transmission transmit(httplib::Client& client, const HttpCall& call, Milliseconds deadline)
    {
        const std::int64_t remainingMs = std::max<std::int64_t>((deadline - monotonicNow()).value, 1);
        const std::chrono::milliseconds remainingTime(remainingMs);
        client.set_connection_timeout(remainingTime);
        client.set_read_timeout(remainingTime);
        client.set_write_timeout(remainingTime);
        Transmission result;
        httplib::Request request;
        request.method = call.method;
        request.path = call.path;
        for (const auto& [name, value] : call.headers)
            request.headers.emplace(name, value);
        request.body = call.body;
        if (!call.body.empty())
            request.headers.emplace("Content-Type", call.contentType);
        constexpr int firstSuccess = 200;
        constexpr int firstRedirect = 300;
        bool success = false;
        request.response_handler = [&](const httplib::Response& response) {
            success = response.status >= firstSuccess && response.status < firstRedirect;
            return true;
        };
        request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
            // The library's timeouts apply to each read; this check bounds an answer that arrives in many small reads.
            result.deadlinePassed = monotonicNow() >= deadline;
            if (result.deadlinePassed)
                return false;
            if (success && call.onPart)
                return call.onPart({ data, size });
            result.reply.body.append(data, size);
            result.tooLong = result.reply.body.size() > call.maxAnswerBody;
            return !result.tooLong;
        };
        const DeadlineGuard guard(client, deadline);
        const httplib::Result answer = client.send(request);
        result.error = answer.error();
        if (!answer)
            return result;
        const AnswerTransfer transfer = completeTransfer(static_cast<std::uint16_t>(answer->status),
            answer->has_header("Content-Length"), answer->get_header_value("Transfer-Encoding"));
        result.unconfirmed = judgeAnswer({ .transfer = transfer }) != AnswerVerdict::Complete;
        if (result.unconfirmed) {
            result.error = httplib::Error::Canceled;
            return result;
        }
        result.reply.status = static_cast<std::uint16_t>(answer->status);
        for (const auto& [name, value] : answer->headers)
            result.reply.headers.emplace_back(name, value);
        return result;
    }

} // namespace

Result<HttpReply> HttpConnection::send(const HttpCall& call)
{
    const Milliseconds deadline = monotonicNow() + call.timeout;
    Transmission result = transmit(this->state->client, call, deadline);
    // A request on a reused socket fails when the server closed the idle connection, although the server is up.
    const bool closedMeanwhile = result.error == httplib::Error::Read || result.error == httplib::Error::Write;
    if (closedMeanwhile && call.method == "GET" && this->state->used && !call.onPart && monotonicNow() < deadline)
        result = transmit(this->state->client, call, deadline);
    this->state->used = result.error == httplib::Error::Success;
    if (result.error == httplib::Error::Success)
        return std::move(result.reply);
    const bool timedOut = result.deadlinePassed || monotonicNow() >= deadline;
    const bool connected = result.error != httplib::Error::Connection
        && result.error != httplib::Error::ConnectionTimeout && result.error != httplib::Error::SSLConnection
        && result.error != httplib::Error::SSLServerVerification;
    return Error { .code = make_error_code(timedOut ? ErrorCode::Timeout : ErrorCode::Unavailable),
        .step = !connected ? connectStep : call.method + " " + call.path.substr(0, call.path.find('?')),
        .peer = this->state->url,
        .detail = result.tooLong ? "answer too long"
            : result.unconfirmed ? "answer with neither a length nor chunks"
                                 : httplib::to_string(result.error) };
}

std::string percentEncode(std::string_view text, bool keepSlashes)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char letter : text) {
        const auto byte = static_cast<unsigned char>(letter);
        const bool unreserved = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z')
            || (byte >= '0' && byte <= '9') || byte == '-' || byte == '.' || byte == '_' || byte == '~'
            || (keepSlashes && byte == '/');
        if (unreserved) {
            encoded += letter;
            continue;
        }
        encoded += '%';
        encoded += digits[byte >> 4U];
        encoded += digits[byte & 15U];
    }
    return encoded;
}

} // namespace hickory

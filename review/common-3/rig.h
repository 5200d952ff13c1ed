#pragma once

// Stand-ins and helpers for the cases of the third review: a raw HTTP/1.1 server and client, a store with tables, child
// processes, and a record of what was sent, answered and run. Nothing of the project is used but its two programs.

#include <nlohmann/json.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace rig {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline std::int64_t nowMs()
{
    static const Clock::time_point start = Clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start).count();
}

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleepMs(std::int64_t time) { std::this_thread::sleep_for(std::chrono::milliseconds(time)); }

/// A case that cannot run.
struct CannotRun : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Lines of record.txt, each with the time since the start in ms.
class Record {
public:
    explicit Record(const std::string& path)
        : file(path)
    {
    }
    void line(const std::string& text)
    {
        const std::lock_guard lock(this->mutex);
        this->file << nowMs() << " ms  " << text << std::endl;
    }

private:
    std::mutex mutex;
    std::ofstream file;
};

// HTTP --------------------------------------------------------------------------------------------------------------

struct Message {
    std::string first; ///< request or status line
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;

    std::string header(const std::string& name) const
    {
        const auto found = this->headers.find(name);
        return found == this->headers.end() ? std::string {} : found->second;
    }
    std::string method() const { return this->first.substr(0, this->first.find(' ')); }
    std::string target() const
    {
        const std::size_t at = this->first.find(' ');
        return at == std::string::npos ? "" : this->first.substr(at + 1, this->first.find(' ', at + 1) - at - 1);
    }
    int status() const
    {
        const std::size_t at = this->first.find(' ');
        return at == std::string::npos ? 0 : std::atoi(this->first.c_str() + at + 1);
    }
};

inline std::string query(const std::string& target, const std::string& name)
{
    std::size_t at = target.find("?" + name + "=");
    if (at == std::string::npos)
        at = target.find("&" + name + "=");
    if (at == std::string::npos)
        return {};
    at += name.size() + 2;
    return target.substr(at, target.find('&', at) - at);
}

/// A connected socket with a buffer of what was read.
class Link {
public:
    explicit Link(int descriptor)
        : descriptor(descriptor)
    {
        const int on = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Link() { this->close(); }
    Link(const Link&) = delete;
    Link& operator=(const Link&) = delete;

    bool send(const std::string& bytes) const
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count = ::send(this->descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }
    /// @return bytes read, 0 at the end of the connection, -1 when the time is over, -2 after a reset
    int fill(std::int64_t timeout)
    {
        pollfd waiting { .fd = this->descriptor, .events = POLLIN, .revents = 0 };
        if (::poll(&waiting, 1, static_cast<int>(std::max<std::int64_t>(timeout, 0))) <= 0)
            return -1;
        char bytes[16384];
        const ssize_t count = ::recv(this->descriptor, bytes, sizeof bytes, 0);
        if (count < 0)
            return -2;
        this->buffer.append(bytes, static_cast<std::size_t>(count));
        return static_cast<int>(count);
    }
    /// @return whether the peer has closed or reset the connection
    bool gone() const
    {
        char byte = 0;
        const ssize_t count = ::recv(this->descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }
    /// Reads a start line and headers.
    bool readHead(Message& message, std::int64_t until)
    {
        std::size_t end = 0;
        while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos)
            if (this->fill(until - nowMs()) <= 0)
                return false;
        std::string head = this->buffer.substr(0, end + 2);
        this->buffer.erase(0, end + 4);
        message = {};
        std::size_t at = head.find("\r\n");
        message.first = head.substr(0, at);
        for (at += 2; at < head.size();) {
            const std::size_t next = head.find("\r\n", at);
            const std::string field = head.substr(at, next - at);
            at = next + 2;
            const std::size_t colon = field.find(':');
            if (colon == std::string::npos)
                continue;
            std::string name = field.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
            const std::size_t value = field.find_first_not_of(' ', colon + 1);
            message.headers[name] = value == std::string::npos ? "" : field.substr(value);
        }
        return true;
    }
    /// Reads a body with a length.
    bool readBody(Message& message, std::int64_t until)
    {
        const auto length = static_cast<std::size_t>(std::atoll(message.header("content-length").c_str()));
        while (this->buffer.size() < length)
            if (this->fill(until - nowMs()) <= 0)
                return false;
        message.body = this->buffer.substr(0, length);
        this->buffer.erase(0, length);
        return true;
    }
    void close()
    {
        if (this->descriptor >= 0)
            ::close(this->descriptor);
        this->descriptor = -1;
    }

    int descriptor;
    std::string buffer;
};

inline sockaddr_in endpoint(const std::string& address)
{
    sockaddr_in out {};
    out.sin_family = AF_INET;
    const std::size_t colon = address.rfind(':');
    out.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
    return out;
}

inline std::string answerText(int status, const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Server with a thread for each connection. Connections are kept until the handler returns false.
class Server {
public:
    using Handler = std::function<bool(const Message& request, Link& link)>;

    Server(const std::string& address, Handler handler)
        : handler(std::move(handler))
    {
        this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in at = endpoint(address);
        if (::bind(this->listener, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0
            || ::listen(this->listener, 512) != 0)
            throw CannotRun("cannot listen at " + address);
        std::thread([this] {
            while (true) {
                const int accepted = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0)
                    continue;
                std::thread([this, accepted] {
                    Link link(accepted);
                    Message request;
                    constexpr std::int64_t idle = 60000;
                    while (link.readHead(request, nowMs() + idle) && link.readBody(request, nowMs() + idle)
                        && this->handler(request, link)) { }
                }).detach();
            }
        }).detach();
    }

private:
    Handler handler;
    int listener;
};

/// What a caller saw of an answer.
struct Answer {
    Message head; ///< status 0 without one
    std::string body;
    bool complete { false }; ///< its length or its last chunk showed the end
    std::string end; ///< "complete", "closed", "reset", "time", "not connected"
};

/// Sends a request on a new connection and reads the answer.
/// @param gap the caller leaves after so long without a byte; 0 for no limit but the time-out
inline Answer call(const std::string& address, const std::string& text, std::int64_t timeout, std::int64_t gap = 0)
{
    Answer answer;
    const std::int64_t until = nowMs() + timeout;
    Link link(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in at = endpoint(address);
    if (::connect(link.descriptor, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || !link.send(text)) {
        answer.end = "not connected";
        return answer;
    }
    const auto limit = [&] { return gap > 0 ? std::min(until, nowMs() + gap) : until; };
    const auto endOf = [](int count) { return count == 0 ? "closed" : count == -1 ? "time" : "reset"; };
    while (link.buffer.find("\r\n\r\n") == std::string::npos)
        if (const int count = link.fill(limit() - nowMs()); count <= 0) {
            answer.end = endOf(count);
            return answer;
        }
    link.readHead(answer.head, until);
    const bool chunked = answer.head.header("transfer-encoding") == "chunked";
    const auto length = static_cast<std::size_t>(std::atoll(answer.head.header("content-length").c_str()));
    while (true) {
        if (!chunked && link.buffer.size() >= length) {
            answer.body = link.buffer.substr(0, length);
            answer.complete = true;
        }
        while (chunked && !answer.complete) {
            const std::size_t line = link.buffer.find("\r\n");
            if (line == std::string::npos)
                break;
            const std::size_t size = std::strtoul(link.buffer.c_str(), nullptr, 16);
            if (link.buffer.size() < line + 2 + size + 2)
                break;
            answer.body += link.buffer.substr(line + 2, size);
            link.buffer.erase(0, line + 2 + size + 2);
            answer.complete = size == 0;
        }
        if (answer.complete) {
            answer.end = "complete";
            return answer;
        }
        if (const int count = link.fill(limit() - nowMs()); count <= 0) {
            answer.end = endOf(count);
            return answer;
        }
    }
}

/// @param headers each ended by CRLF
inline std::string requestText(const std::string& method, const std::string& target, const std::string& host,
    const std::string& headers = {}, const std::string& body = {})
{
    return method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n" + headers
        + (method == "GET" ? std::string {} : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n"
        + body;
}

// The platform's store ----------------------------------------------------------------------------------------------

inline std::string base64(const std::string& bytes)
{
    static const char* letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        const std::size_t left = std::min<std::size_t>(3, bytes.size() - at);
        std::uint32_t group = 0;
        for (std::size_t index = 0; index < 3; ++index)
            group = group << 8U | (index < left ? static_cast<unsigned char>(bytes[at + index]) : 0U);
        for (std::size_t index = 0; index < 4; ++index)
            text += index <= left ? letters[group >> (18 - 6 * index) & 63U] : '=';
    }
    return text;
}

/// The store's tables, read by pages and by long polls. It is sound at all times.
class Store {
public:
    explicit Store(const std::string& address)
        : server(address, [this](const Message& request, Link& link) { return this->serve(request, link); })
    {
    }
    /// @return the confirmation: the time at which the row was written
    std::int64_t put(const std::string& table, const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(this->mutex);
        this->tables[table][key] = { value, ++this->version, false };
        this->changed.notify_all();
        return nowMs();
    }

private:
    struct Row {
        std::string value;
        std::uint64_t version { 0 };
        bool deleted { false };
    };

    std::string rows(const std::string& table, std::uint64_t after, bool changes)
    {
        std::vector<std::pair<std::uint64_t, Json>> found;
        for (const auto& [key, row] : this->tables[table]) {
            if (row.version <= after || (row.deleted && !changes))
                continue;
            Json out { { "table", table }, { "part", "" }, { "key", key }, { "ver", row.version } };
            if (row.deleted)
                out["deleted"] = true;
            else
                out["value"] = base64(row.value);
            found.emplace_back(row.version, out);
        }
        if (changes)
            std::sort(found.begin(), found.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
        Json list = Json::array();
        for (auto& [version, row] : found)
            list.push_back(row);
        return Json { { "rows", list }, { "ver", this->version }, { "now_ms", nowMs() }, { "has_more", false } }.dump();
    }
    bool serve(const Message& request, Link& link)
    {
        const std::string target = request.target();
        const std::string table = query(target, "table");
        std::string body;
        {
            std::unique_lock lock(this->mutex);
            if (target.starts_with("/api/rows-feed")) {
                const std::uint64_t after = std::stoull("0" + query(target, "after_rev"));
                const std::int64_t wait = std::stoll("0" + query(target, "wait_ms"));
                this->changed.wait_for(lock, std::chrono::milliseconds(wait), [&] {
                    const auto& rows = this->tables[table];
                    return std::any_of(
                        rows.begin(), rows.end(), [&](const auto& row) { return row.second.version > after; });
                });
                body = this->rows(table, after, true);
            } else
                body = this->rows(table, 0, false);
        }
        sleepMs(4);
        return link.send(answerText(200, "Content-Type: application/json\r\n", body));
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::map<std::string, Row>> tables;
    std::uint64_t version { 0 };
    Server server;
};

// Processes ---------------------------------------------------------------------------------------------------------

/// A child process, killed at the end.
class Process {
public:
    Process() = default;
    ~Process() { this->stop(SIGKILL); }
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void start(const std::vector<std::string>& command, const std::string& log, const std::string& settings = {})
    {
        std::vector<char*> words;
        for (const std::string& word : command)
            words.push_back(const_cast<char*>(word.c_str()));
        words.push_back(nullptr);
        const pid_t parent = ::getpid();
        this->id = ::fork();
        if (this->id == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent)
                ::_exit(3);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::close(out);
            if (!settings.empty())
                ::setenv("HICKORYROAD_SETTINGS", settings.c_str(), 1);
            ::execv(words[0], words.data());
            ::_exit(3);
        }
    }
    void signal(int number) const
    {
        if (this->id > 0)
            ::kill(this->id, number);
    }
    void stop(int number)
    {
        if (this->id <= 0)
            return;
        ::kill(this->id, number);
        ::waitpid(this->id, nullptr, 0);
        this->id = 0;
    }
    /// @return whether it ended by itself
    bool ended()
    {
        if (this->id <= 0)
            return true;
        return ::waitpid(this->id, nullptr, WNOHANG) == this->id;
    }

    pid_t id { 0 };
};

// A small deployment ------------------------------------------------------------------------------------------------

/// Addresses, folders and settings of one run.
struct Site {
    Site()
    {
        const char* given = std::getenv("TMPDIR");
        std::string pattern = std::string(given ? given : "/tmp") + "/review-3-XXXXXX";
        if (!::mkdtemp(pattern.data()))
            throw CannotRun("no temporary folder");
        this->folder = pattern;
    }
    ~Site()
    {
        std::error_code ignored;
        if (!std::getenv("KEEP"))
            std::filesystem::remove_all(this->folder, ignored);
    }

    std::string ip(int number) const { return this->prefix + std::to_string(number); }
    std::string store() const { return this->ip(250) + ":8007"; }
    std::string front(int entry) const { return this->ip(entry) + ":8005"; }
    std::string lookup(int entry) const { return this->ip(entry) + ":8009"; }

    std::string seeds() const
    {
        std::string list;
        for (int entry = 1; entry <= this->entries; ++entry)
            list += (entry == 1 ? "\"" : ", \"") + this->ip(entry) + ":8000\"";
        return list;
    }
    /// Settings as deploy/entry.toml gives them on a small deployment.
    std::string entrySettings(int entry) const
    {
        const std::string ip = this->ip(entry);
        const std::string path = this->folder + "/entry-" + std::to_string(entry) + ".toml";
        std::ofstream(path) << "[host]\nname = \"edge-a-" << entry
                            << "\"\nplace = \"harju-a\"\nregion = \"harju\"\nip = \"" << ip
                            << "\"\npeer_port = 7700\nstore = \"" << this->store() << "\"\nseeds = [" << this->seeds()
                            << "]\nregions = [\"harju-a=harju\"]\n\n[relay]\nfront = \"" << ip
                            << ":8005\"\nreadiness = \"" << ip << ":8002\"\nlookup = \"" << ip
                            << ":8009\"\ncontrol = \"" << ip
                            << ":8000\"\nrevoke_ms = 5000\nweights_ms = 8000\ngrace_s = 8\nretry_ratio = 0.2\n"
                            << "retry_extra = 106\nretry_window_s = 10\nmemory_mb = 520\nmax_fds = 8200\n";
        return path;
    }
    void startEntry(Process& process, int entry) const
    {
        process.start({ "target/hickory-entry" }, this->folder + "/entry-" + std::to_string(entry) + ".log",
            this->entrySettings(entry));
    }
    void awaitReady(int entry) const
    {
        const std::int64_t until = nowMs() + 15000;
        while (
            call(this->ip(entry) + ":8002", requestText("GET", "/api/readiness", "ready"), 1000).head.status() != 200) {
            if (nowMs() > until)
                throw CannotRun("entry " + std::to_string(entry) + " is not ready");
            sleepMs(50);
        }
    }

    int entries { 2 };
    std::string folder;
    std::string prefix { "127." + std::to_string(1 + ::getpid() % 200) + "." + std::to_string(::getpid() / 200 % 250)
        + "." };
};

inline Json engineProfile(int slots)
{
    return { { "slots", slots }, { "kv_capacity", 1640000 }, { "step_ms", 6.73 }, { "per_seq_ms", 0.0219 },
        { "context_per_k", 0.0068 }, { "read_per_s", 30600 }, { "pairs_per_m", 0.647 }, { "stride", 6 },
        { "layers", 16 }, { "chunks", 64 }, { "chunk_bytes", 32768 }, { "report_lag_ms", 200 },
        { "usual", { { "prompt", 900 }, { "answer", 140 } } },
        { "models", Json::array({ { { "name", "daka" }, { "warmup_s", 0.3 } } }) } };
}

inline bool hasTrouble()
{
    const char* given = std::getenv("TROUBLE");
    return !given || std::string(given) != "0";
}

/// Ends a case at the latest after this time.
inline void limitTime(std::int64_t seconds)
{
    ::alarm(static_cast<unsigned>(seconds));
    std::signal(SIGPIPE, SIG_IGN);
    nowMs();
}

} // namespace rig

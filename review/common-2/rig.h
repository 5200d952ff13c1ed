// Helpers for the scripts of the second review: HTTP stand-ins on loopback addresses, child processes and the record.
// Uses none of the project's code.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <set>
#include <sodium.h>
#include <stdexcept>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace rig {

using Json = nlohmann::json;
using Headers = std::vector<std::pair<std::string, std::string>>;

/// Thrown when a case cannot run; leads to exit code 2.
struct CannotRun : std::runtime_error {
    using std::runtime_error::runtime_error;
};

inline std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleepMs(std::int64_t time) { std::this_thread::sleep_for(std::chrono::milliseconds(time)); }

/// record.txt of a case: what was sent, answered and run, with the time since the start.
class Record {
public:
    explicit Record(const std::string& path)
        : file(path, std::ios::trunc)
        , start(nowMs())
    {
    }
    void line(const std::string& text)
    {
        const std::lock_guard guard(this->mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f  ", static_cast<double>(nowMs() - this->start) / 1000);
        this->file << time << text << "\n" << std::flush;
    }
    /// Writes a line here and to standard output.
    void say(const std::string& text)
    {
        this->line(text);
        std::printf("%s\n", text.c_str());
        std::fflush(stdout);
    }

private:
    std::mutex mutex;
    std::ofstream file;
    std::int64_t start;
};

// HTTP ----------------------------------------------------------------------------------------------------------------

struct Request {
    std::string method;
    std::string target;
    Headers headers;
    std::string body;

    /// @return value of a header field, empty when it is absent
    std::string header(const std::string& name) const
    {
        for (const auto& [key, value] : this->headers)
            if (strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        return {};
    }
    std::string path() const { return this->target.substr(0, this->target.find('?')); }
    /// @return value of a query field, empty when it is absent; the values of these cases need no decoding
    std::string query(const std::string& name) const
    {
        const std::size_t begin = this->target.find('?');
        std::string rest = begin == std::string::npos ? std::string {} : this->target.substr(begin + 1);
        while (!rest.empty()) {
            const std::size_t end = std::min(rest.find('&'), rest.size());
            const std::string field = rest.substr(0, end);
            rest.erase(0, end + 1);
            if (field.starts_with(name + "="))
                return field.substr(name.size() + 1);
        }
        return {};
    }
};

inline std::string answerText(int status, const std::string& body, const Headers& headers = {})
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + (status < 300 ? " OK" : " Status") + "\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Reads from a socket with a buffer.
class Reader {
public:
    explicit Reader(int handle)
        : handle(handle)
    {
    }
    /// @return a line without its end, or nothing at the end of the connection
    std::optional<std::string> readLine()
    {
        std::size_t end;
        while ((end = this->buffer.find('\n')) == std::string::npos)
            if (!this->more())
                return std::nullopt;
        std::string line = this->buffer.substr(0, end);
        this->buffer.erase(0, end + 1);
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        return line;
    }
    /// @return exactly so many bytes, or nothing
    std::optional<std::string> readBytes(std::size_t count)
    {
        while (this->buffer.size() < count)
            if (!this->more())
                return std::nullopt;
        std::string bytes = this->buffer.substr(0, count);
        this->buffer.erase(0, count);
        return bytes;
    }

private:
    bool more()
    {
        char bytes[16384];
        const ssize_t count = ::recv(this->handle, bytes, sizeof bytes, 0);
        if (count <= 0)
            return false;
        this->buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }
    int handle;
    std::string buffer;
};

inline bool sendAll(int handle, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(handle, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

inline bool readHeaders(Reader& reader, Headers& headers)
{
    while (true) {
        const auto line = reader.readLine();
        if (!line)
            return false;
        if (line->empty())
            return true;
        const std::size_t colon = line->find(':');
        if (colon == std::string::npos)
            return false;
        const std::size_t value = line->find_first_not_of(" \t", colon + 1);
        headers.emplace_back(line->substr(0, colon), value == std::string::npos ? "" : line->substr(value));
    }
}

/// @return whether the peer has closed the connection
inline bool isClosed(int handle)
{
    char byte;
    const ssize_t count = ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

inline sockaddr_in endpointOf(const std::string& address)
{
    const std::size_t colon = address.rfind(':');
    sockaddr_in endpoint {};
    endpoint.sin_family = AF_INET;
    endpoint.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &endpoint.sin_addr);
    return endpoint;
}

/// HTTP server with a thread for each connection. Requests have a length or no body.
class Server {
public:
    /// @return the bytes of the answer; empty to close the connection without one; nothing if it has sent the answer
    using Handler = std::function<std::optional<std::string>(const Request&, int handle)>;

    Server(const std::string& address, Handler handler)
        : handler(std::move(handler))
        , address(address)
    {
        this->open();
    }
    ~Server() { this->close(); }
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    void open()
    {
        this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in endpoint = endpointOf(this->address);
        if (::bind(this->listener, reinterpret_cast<const sockaddr*>(&endpoint), sizeof endpoint) != 0
            || ::listen(this->listener, 256) != 0)
            throw CannotRun("cannot listen at " + this->address);
        this->isOpen = true;
        this->thread = std::thread([this] { this->acceptAll(); });
    }

    /// Closes the listener and all connections, as the end of the process does.
    void close()
    {
        if (!this->isOpen.exchange(false))
            return;
        ::shutdown(this->listener, SHUT_RDWR);
        this->thread.join();
        ::close(this->listener);
        {
            const std::lock_guard guard(this->mutex);
            for (const int handle : this->handles)
                ::shutdown(handle, SHUT_RDWR);
        }
        while (this->running > 0)
            sleepMs(1);
    }

private:
    void acceptAll()
    {
        while (this->isOpen) {
            const int handle = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (handle < 0) {
                if (this->isOpen)
                    sleepMs(1);
                continue;
            }
            const int on = 1;
            ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                const std::lock_guard guard(this->mutex);
                this->handles.insert(handle);
            }
            ++this->running;
            std::thread([this, handle] {
                this->serve(handle);
                {
                    const std::lock_guard guard(this->mutex);
                    this->handles.erase(handle);
                    ::close(handle);
                }
                --this->running;
            }).detach();
        }
    }

    void serve(int handle)
    {
        Reader reader(handle);
        while (this->isOpen) {
            const auto first = reader.readLine();
            if (!first)
                return;
            Request request;
            const std::size_t space = first->find(' ');
            const std::size_t last = first->rfind(' ');
            if (space == std::string::npos || last <= space)
                return;
            request.method = first->substr(0, space);
            request.target = first->substr(space + 1, last - space - 1);
            if (!readHeaders(reader, request.headers))
                return;
            const std::string length = request.header("Content-Length");
            const auto body = reader.readBytes(length.empty() ? 0 : std::stoul(length));
            if (!body)
                return;
            request.body = *body;
            const std::optional<std::string> answer = this->handler(request, handle);
            if (answer && (answer->empty() || !sendAll(handle, *answer)))
                return;
            if (strcasecmp(request.header("Connection").c_str(), "close") == 0)
                return;
        }
    }

    Handler handler;
    std::string address;
    int listener { -1 };
    std::atomic<bool> isOpen { false };
    std::atomic<int> running { 0 };
    std::thread thread;
    std::mutex mutex;
    std::set<int> handles;
};

/// Answer that a caller got.
struct Answer {
    int status { 0 }; ///< 0 without an answer
    Headers headers;
    std::string body;
    bool whole { false }; ///< it ended as its length or its chunks say

    std::string header(const std::string& name) const
    {
        return Request { .method = {}, .target = {}, .headers = this->headers, .body = {} }.header(name);
    }
};

/// Sends a request over a new connection and reads the answer.
inline Answer send(const std::string& address, const std::string& bytes, std::int64_t timeoutMs)
{
    Answer answer;
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval timeout { .tv_sec = timeoutMs / 1000, .tv_usec = (timeoutMs % 1000) * 1000 };
    ::setsockopt(handle, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    ::setsockopt(handle, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
    const sockaddr_in endpoint = endpointOf(address);
    if (::connect(handle, reinterpret_cast<const sockaddr*>(&endpoint), sizeof endpoint) == 0 && sendAll(handle, bytes)) {
        Reader reader(handle);
        const auto first = reader.readLine();
        if (first && first->size() > 12 && readHeaders(reader, answer.headers)) {
            answer.status = std::atoi(first->c_str() + 9);
            const std::string length = answer.header("Content-Length");
            if (!length.empty()) {
                if (const auto body = reader.readBytes(std::stoul(length))) {
                    answer.body = *body;
                    answer.whole = true;
                }
            } else
                while (const auto head = reader.readLine()) {
                    const std::size_t size = std::stoul(*head, nullptr, 16);
                    const auto part = reader.readBytes(size + 2);
                    if (!part)
                        break;
                    answer.body += part->substr(0, size);
                    if (size == 0) {
                        answer.whole = true;
                        break;
                    }
                }
        }
    }
    ::close(handle);
    return answer;
}

// The platform's store ------------------------------------------------------------------------------------------------

inline std::string base64(const std::string& bytes)
{
    std::string text(sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
    sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
        sodium_base64_VARIANT_ORIGINAL);
    text.resize(text.size() - 1);
    return text;
}

inline std::string sha256Hex(const std::string& bytes)
{
    unsigned char digest[crypto_hash_sha256_BYTES];
    crypto_hash_sha256(digest, reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size());
    char text[2 * crypto_hash_sha256_BYTES + 1];
    sodium_bin2hex(text, sizeof text, digest, sizeof digest);
    return text;
}

/// Stand-in for the platform's metadata store, as far as the system uses it: rows-get and rows-feed.
class Store {
public:
    explicit Store(const std::string& address)
        : server(address, [this](const Request& request, int) { return this->handle(request); })
    {
    }

    void put(const std::string& table, const std::string& part, const std::string& key, const std::string& value)
    {
        const std::lock_guard guard(this->mutex);
        this->rows[{ table, part, key }] = { .value = value, .ver = ++this->ver };
        this->changed.notify_all();
    }
    void remove(const std::string& table, const std::string& part, const std::string& key)
    {
        const std::lock_guard guard(this->mutex);
        this->rows[{ table, part, key }] = { .value = {}, .ver = ++this->ver, .deleted = true };
        this->changed.notify_all();
    }

private:
    struct Key {
        std::string table;
        std::string part;
        std::string key;
        auto operator<=>(const Key&) const = default;
    };
    struct Row {
        std::string value;
        std::uint64_t ver { 0 };
        bool deleted { false };
    };

    static Json rowJson(const Key& key, const Row& row)
    {
        Json json { { "table", key.table }, { "part", key.part }, { "key", key.key }, { "ver", row.ver } };
        if (row.deleted)
            json["deleted"] = true;
        else
            json["value"] = base64(row.value);
        return json;
    }

    std::string handle(const Request& request)
    {
        const std::string table = request.query("table");
        std::unique_lock lock(this->mutex);
        if (request.path() == "/api/rows-get") {
            // As of one moment, of one part, keys in ascending order.
            Json rows = Json::array();
            for (const auto& [key, row] : this->rows)
                if (key.table == table && key.part == request.query("part") && !row.deleted)
                    rows.push_back(rowJson(key, row));
            return this->page(std::move(rows), false);
        }
        if (request.path() == "/api/rows-feed") {
            // The changed rows of the table in order, as soon as there is at least one.
            const std::uint64_t after = std::stoull(request.query("after_rev"));
            const auto until
                = std::chrono::steady_clock::now() + std::chrono::milliseconds(std::stoll(request.query("wait_ms")));
            std::map<std::uint64_t, Json> found;
            while (true) {
                for (const auto& [key, row] : this->rows)
                    if (key.table == table && row.ver > after)
                        found[row.ver] = rowJson(key, row);
                if (!found.empty() || this->changed.wait_until(lock, until) == std::cv_status::timeout)
                    break;
            }
            Json rows = Json::array();
            for (auto& [ver, row] : found)
                rows.push_back(std::move(row));
            return this->page(std::move(rows), true);
        }
        return answerText(404, "");
    }

    std::string page(Json rows, bool isFeed) const
    {
        Json page { { "rows", std::move(rows) }, { "ver", this->ver }, { "now_ms", nowMs() } };
        if (!isFeed)
            page["has_more"] = false;
        return answerText(200, page.dump(), { { "Content-Type", "application/json" } });
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<Key, Row> rows;
    std::uint64_t ver { 0 };
    Server server;
};

// Processes -----------------------------------------------------------------------------------------------------------

/// A process of the system, started with the command of the deploy file.
class Process {
public:
    void start(const std::string& program, const std::string& settings, const std::string& log)
    {
        // Nothing may be allocated between fork and exec: another thread may hold the allocator.
        const std::string variable = "HICKORYROAD_SETTINGS=" + settings;
        const char* const arguments[] = { program.c_str(), nullptr };
        const char* const environment[] = { variable.c_str(), "PATH=/usr/bin:/bin", "LANG=C", nullptr };
        this->pid = ::fork();
        if (this->pid < 0)
            throw CannotRun("cannot fork");
        if (this->pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::execve(program.c_str(), const_cast<char**>(arguments), const_cast<char**>(environment));
            ::_exit(127);
        }
    }
    void kill(int signal)
    {
        if (this->pid > 0)
            ::kill(this->pid, signal);
    }
    /// Waits for the end of the process.
    /// @return whether it ended in time
    bool wait(std::int64_t timeoutMs)
    {
        const std::int64_t until = nowMs() + timeoutMs;
        while (this->pid > 0) {
            if (::waitpid(this->pid, nullptr, WNOHANG) == this->pid) {
                this->pid = 0;
                return true;
            }
            if (nowMs() > until)
                return false;
            sleepMs(5);
        }
        return true;
    }
    bool running()
    {
        if (this->pid > 0 && ::waitpid(this->pid, nullptr, WNOHANG) == this->pid)
            this->pid = 0;
        return this->pid > 0;
    }
    ~Process()
    {
        this->kill(SIGKILL);
        this->wait(5000);
    }

private:
    pid_t pid { 0 };
};

/// A small fleet on loopback addresses: each host has an address of its own, all use the same ports.
class Fleet {
public:
    Fleet()
        : folder(std::filesystem::temp_directory_path() / ("review-2-" + std::to_string(::getpid())))
    {
        if (sodium_init() < 0)
            throw CannotRun("libsodium does not start");
        std::filesystem::create_directories(this->folder);
        // An unused block of loopback addresses.
        for (int attempt = 0; attempt < 200; ++attempt) {
            const int number = (static_cast<int>(::getpid()) + attempt * 7) % 50000;
            this->prefix = "127." + std::to_string(20 + number / 250) + "." + std::to_string(1 + number % 250) + ".";
            if (this->isFree())
                return;
        }
        throw CannotRun("no free loopback addresses");
    }
    ~Fleet()
    {
        this->processes.clear();
        std::error_code ignored;
        std::filesystem::remove_all(this->folder, ignored);
    }

    std::string ip(int host) const { return this->prefix + std::to_string(host); }
    std::string storeAddress() const { return this->ip(250) + ":8007"; }
    std::string front(int host) const { return this->ip(host) + ":8005"; }

    /// @param seeds hosts whose control addresses the settings name
    void startEntry(int host, const std::vector<int>& seeds)
    {
        const std::string ip = this->ip(host);
        const std::string settings = this->hostTable("edge", host, seeds) + "regions = [\"noord-a=noord\"]\n\n[relay]\nfront = \""
            + ip + ":8005\"\nreadiness = \"" + ip + ":8002\"\nlookup = \"" + ip + ":8009\"\ncontrol = \"" + ip
            + ":8000\"\nrevoke_ms = 5000\nweights_ms = 8000\ngrace_s = 8\nretry_ratio = 0.2\nretry_extra = 106\n"
              "retry_window_s = 10\nmemory_mb = 520\nmax_fds = 8200\n";
        this->startProcess("target/hickory-entry", host, settings);
    }
    void startAgent(int host, const std::vector<int>& seeds, const std::string& engine, const std::string& service)
    {
        const std::string settings = this->hostTable("side", host, seeds) + "\n[loader]\nengine = \"" + engine
            + "\"\nservice = \"" + service + "\"\nlink_mbps = 7.6\nweights_ms = 8000\n";
        this->startProcess("target/hickory-agent", host, settings);
    }
    Process& process(int host) { return this->processes[host]; }

    bool isReady(int host)
    {
        return rig::send(this->ip(host) + ":8002", "GET /api/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n", 500)
                   .status
            == 200;
    }
    void awaitReady(int host)
    {
        const std::int64_t until = nowMs() + 15000;
        while (!this->isReady(host)) {
            if (nowMs() > until)
                throw CannotRun("entry " + std::to_string(host) + " is not ready after 15 s");
            sleepMs(50);
        }
    }

    std::filesystem::path folder; ///< settings and logs

private:
    bool isFree() const
    {
        for (const int host : { 1, 2, 3, 4, 20, 250 })
            for (const int port : { 8005, 8000, 7700, 8007, 8740 }) {
                const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
                const sockaddr_in endpoint = endpointOf(this->ip(host) + ":" + std::to_string(port));
                const bool free = ::bind(handle, reinterpret_cast<const sockaddr*>(&endpoint), sizeof endpoint) == 0;
                ::close(handle);
                if (!free)
                    return false;
            }
        return true;
    }

    std::string hostTable(const std::string& kind, int host, const std::vector<int>& seeds) const
    {
        std::string list;
        for (const int seed : seeds)
            list += (list.empty() ? "\"" : ",\"") + this->ip(seed) + ":8000\"";
        return "[host]\nname = \"" + kind + "-noord-a-" + std::to_string(host)
            + "\"\nplace = \"noord-a\"\nregion = \"noord\"\nip = \"" + this->ip(host)
            + "\"\npeer_port = 7700\nstore = \"" + this->storeAddress() + "\"\nseeds = [" + list + "]\n";
    }

    void startProcess(const std::string& program, int host, const std::string& settings)
    {
        if (!std::filesystem::exists(program))
            throw CannotRun(program + " is missing; build the deploy file first");
        const std::string path = (this->folder / ("host-" + std::to_string(host) + ".toml")).string();
        std::ofstream(path) << settings;
        this->processes[host].start(program, path, (this->folder / ("host-" + std::to_string(host) + ".log")).string());
    }

    std::string prefix; ///< "127.x.y."
    std::map<int, Process> processes; ///< by host
};

/// @return whether the disruption takes place
inline bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

/// Runs a case.
/// @param check returns whether the rule held
/// @return exit code of the script
inline int runCase(int count, char** values, const std::function<bool(Record&)>& check)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (count < 2) {
        std::fprintf(stderr, "usage: %s FOLDER\n", values[0]);
        return 2;
    }
    Record record(std::string(values[1]) + "/record.txt");
    try {
        record.say(hasTrouble() ? "with the disruption" : "without the disruption (TROUBLE=0)");
        const bool held = check(record);
        record.say(held ? "the rule held" : "the rule was broken");
        return held ? 0 : 1;
    } catch (const std::exception& problem) {
        record.say(std::string("cannot run: ") + problem.what());
        return 2;
    }
}

} // namespace rig

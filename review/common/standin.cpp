#include "standin.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

    std::mutex processMutex;
    std::vector<pid_t> processes; ///< all that this run started

    sockaddr_in endpoint(const std::string& ip, std::uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        return address;
    }

    std::string lower(std::string text)
    {
        std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
        return text;
    }

    /// Splits the head of a message into its first line and its fields.
    std::string parseHead(const std::string& head, Headers& headers)
    {
        std::istringstream lines(head);
        std::string first;
        std::getline(lines, first);
        if (!first.empty() && first.back() == '\r')
            first.pop_back();
        for (std::string line; std::getline(lines, line);) {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            std::string value = line.substr(colon + 1);
            while (!value.empty() && value.front() == ' ')
                value.erase(0, 1);
            headers.emplace_back(line.substr(0, colon), value);
        }
        return first;
    }

    /// Removes the chunk framing from the start of a text.
    /// @return whether the last chunk is there
    bool decodeChunks(const std::string& raw, std::string& body)
    {
        body.clear();
        std::size_t at = 0;
        while (true) {
            const std::size_t end = raw.find("\r\n", at);
            if (end == std::string::npos)
                return false;
            const std::size_t size = std::stoul(raw.substr(at, end - at), nullptr, 16);
            at = end + 2;
            if (size == 0)
                return raw.size() >= at + 2;
            if (raw.size() < at + size + 2) {
                body += raw.substr(at, size);
                return false;
            }
            body += raw.substr(at, size);
            at += size + 2;
        }
    }

} // namespace

std::int64_t nowMs()
{
    timespec now {};
    clock_gettime(CLOCK_MONOTONIC, &now);
    return now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

std::int64_t wallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void sleepMs(std::int64_t time) { std::this_thread::sleep_for(std::chrono::milliseconds(time)); }

void cannotRun(const std::string& reason)
{
    std::cerr << "cannot run: " << reason << "\n";
    finish(2);
}

void finish(int code)
{
    {
        const std::lock_guard lock(processMutex);
        for (const pid_t pid : processes) {
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
        }
        processes.clear();
    }
    std::cout.flush();
    std::cerr.flush();
    _exit(code);
}

Record::Record(const std::string& path)
    : file(path)
    , startedAt(nowMs())
{
}

void Record::line(const std::string& text)
{
    const std::lock_guard lock(this->mutex);
    this->file << nowMs() - this->startedAt << " ms " << text << "\n" << std::flush;
}

std::optional<std::string> findHeader(const Headers& headers, const std::string& name)
{
    for (const auto& [key, value] : headers)
        if (strcasecmp(key.c_str(), name.c_str()) == 0)
            return value;
    return std::nullopt;
}

std::string Request::query(const std::string& name) const
{
    const std::size_t start = this->target.find('?');
    if (start == std::string::npos)
        return {};
    std::istringstream parts(this->target.substr(start + 1));
    for (std::string part; std::getline(parts, part, '&');)
        if (part.starts_with(name + "="))
            return part.substr(name.size() + 1);
    return {};
}

std::optional<Request> Connection::read()
{
    std::size_t head = std::string::npos;
    std::array<char, 65536> buffer {};
    const auto more = [&] {
        const ssize_t count = ::recv(this->socket, buffer.data(), buffer.size(), 0);
        if (count <= 0)
            return false;
        this->unread.append(buffer.data(), static_cast<std::size_t>(count));
        return true;
    };
    while ((head = this->unread.find("\r\n\r\n")) == std::string::npos)
        if (!more())
            return std::nullopt;
    Request request;
    std::istringstream first(parseHead(this->unread.substr(0, head + 2), request.headers));
    first >> request.method >> request.target;
    this->unread.erase(0, head + 4);
    const std::string length = request.header("Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (this->unread.size() < size)
        if (!more())
            return std::nullopt;
    request.body = this->unread.substr(0, size);
    this->unread.erase(0, size);
    return request;
}

bool Connection::write(const std::string& bytes) const
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(this->socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool Connection::answer(int status, const Headers& headers, const std::string& body) const
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    return this->write(text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

bool Connection::peerClosed() const
{
    char byte = 0;
    const ssize_t count = ::recv(this->socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

Server::Server(const std::string& ip, std::uint16_t port, Handler handler)
    : listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    , handler(std::move(handler))
{
    const int on = 1;
    ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = endpoint(ip, port);
    if (::bind(this->listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0
        || ::listen(this->listener, 256) != 0)
        cannotRun("no server at " + ip + ":" + std::to_string(port) + ": " + std::strerror(errno));
    this->acceptor = std::thread([this] { this->accept(); });
}

void Server::accept()
{
    while (!this->stopped) {
        const int socket = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            if (this->stopped)
                return;
            continue;
        }
        const int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const std::lock_guard lock(this->mutex);
        if (this->stopped) {
            ::close(socket);
            return;
        }
        this->open.push_back(socket);
        std::thread([this, socket] {
            Connection connection(socket);
            this->handler(connection);
            const std::lock_guard guard(this->mutex);
            if (std::erase(this->open, socket) > 0)
                ::close(socket);
        }).detach();
    }
}

void Server::stop()
{
    if (this->stopped.exchange(true))
        return;
    ::shutdown(this->listener, SHUT_RDWR);
    this->acceptor.join();
    ::close(this->listener);
    const std::lock_guard lock(this->mutex);
    for (const int socket : this->open)
        ::shutdown(socket, SHUT_RDWR);
}

Server::~Server() { this->stop(); }

std::string engineProfile(int chunks)
{
    return R"({"slots":16,"kv_capacity":1640000,"kv_token_bytes":163840,"stride":6,"models":[{"name":"letters-model",)"
           R"("warmup_s":0.3}],"mb":282000.0,"step_ms":6.73,"per_seq_ms":0.0219,"context_per_k":0.0068,)"
           R"("read_per_s":30600.0,"pairs_per_m":0.647,"chunk":2048,"report_lag_ms":200.0,)"
           R"("usual":{"prompt":964,"answer":119},"layers":16,"layer_mb":4540.0,"chunks":)"
        + std::to_string(chunks) + R"(,"chunk_bytes":32768})";
}

std::string configText(int version, const std::string& routes, const std::string& services)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes + R"(],"services":[)" + services
        + R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
          R"("idle_timeout_ms":15000},"tenants":[{"name":"desk","api_keys":["desk-key"],"priority":1}]})";
}

std::string requestText(const std::string& method, const std::string& path, const std::string& attempt,
    std::int64_t deadlineMs, const std::string& headers, const std::string& body)
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + attempt
        + "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\nAuthorization: Bearer desk-key\r\n" + headers;
    if (method != "GET")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

std::string base64(const std::string& bytes)
{
    constexpr const char* letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - at);
        std::uint32_t group = 0;
        for (std::size_t index = 0; index < 3; ++index)
            group = group << 8U | (index < count ? static_cast<unsigned char>(bytes[at + index]) : 0U);
        for (std::size_t index = 0; index < 4; ++index)
            text += index <= count ? letters[group >> (18 - 6 * index) & 63U] : '=';
    }
    return text;
}

Store::Store(const std::string& ip, std::uint16_t port)
    : server(std::make_unique<Server>(ip, port, [this](Connection& connection) { this->serve(connection); }))
{
}

void Store::put(const std::string& table, const std::string& key, const std::string& value)
{
    const std::lock_guard lock(this->mutex);
    this->tables[table][key] = { .value = value, .revision = ++this->revision };
}

void Store::remove(const std::string& table, const std::string& key)
{
    const std::lock_guard lock(this->mutex);
    this->tables[table][key] = { .value = {}, .revision = ++this->revision, .deleted = true };
}

bool Store::changed(const std::string& table, std::uint64_t after)
{
    const std::lock_guard lock(this->mutex);
    const auto& rows = this->tables[table];
    return std::any_of(rows.begin(), rows.end(), [&](const auto& row) { return row.second.revision > after; });
}

std::string Store::rows(const std::string& table, std::uint64_t after, bool withDeleted)
{
    const std::lock_guard lock(this->mutex);
    std::vector<std::pair<std::uint64_t, std::string>> found;
    for (const auto& [key, row] : this->tables[table]) {
        if (row.revision <= after || (row.deleted && !withDeleted))
            continue;
        std::string text
            = R"({"table":")" + table + R"(","part":"","key":")" + key + R"(","ver":)" + std::to_string(row.revision);
        text += row.deleted ? R"(,"deleted":true})" : R"(,"value":")" + base64(row.value) + "\"}";
        found.emplace_back(row.revision, std::move(text));
    }
    if (withDeleted)
        std::sort(found.begin(), found.end());
    std::string body = "{\"rows\":[";
    for (std::size_t index = 0; index < found.size(); ++index)
        body += (index == 0 ? "" : ",") + found[index].second;
    return body + R"(],"has_more":false,"ver":)" + std::to_string(this->revision)
        + ",\"now_ms\":" + std::to_string(nowMs()) + "}";
}

void Store::serve(Connection& connection)
{
    constexpr std::int64_t answerMs = 4;
    while (const auto request = connection.read()) {
        const std::string table = request->query("table");
        const Headers json { { "Content-Type", "application/json" } };
        sleepMs(answerMs);
        bool sent = false;
        if (request->target.starts_with("/api/rows-get"))
            sent = connection.answer(200, json, this->rows(table, 0, false));
        else if (request->target.starts_with("/api/rows-feed")) {
            const std::uint64_t after = std::stoull(request->query("after_rev"));
            const std::int64_t until = nowMs() + std::stoll(request->query("wait_ms"));
            while (!this->changed(table, after) && nowMs() < until && !connection.peerClosed())
                sleepMs(2);
            sent = connection.answer(200, json, this->rows(table, after, true));
        } else
            sent = connection.answer(404, json, "{}");
        if (!sent)
            return;
    }
}

Answer call(const std::string& ip, std::uint16_t port, const std::string& request, std::int64_t patience)
{
    Answer answer;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = endpoint(ip, port);
    std::string raw;
    std::size_t head = std::string::npos;
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0
        && Connection(socket).write(request)) {
        std::array<char, 65536> buffer {};
        while (true) {
            pollfd waits { .fd = socket, .events = POLLIN, .revents = 0 };
            if (::poll(&waits, 1, static_cast<int>(patience)) <= 0)
                break;
            const ssize_t count = ::recv(socket, buffer.data(), buffer.size(), 0);
            const bool closed = count == 0;
            if (count < 0)
                break;
            raw.append(buffer.data(), static_cast<std::size_t>(count));
            if (answer.firstByteAt == 0 && count > 0)
                answer.firstByteAt = nowMs();
            if (head == std::string::npos && (head = raw.find("\r\n\r\n")) != std::string::npos) {
                std::istringstream first(parseHead(raw.substr(0, head + 2), answer.headers));
                std::string version;
                first >> version >> answer.status;
            }
            if (head != std::string::npos) {
                const std::string rest = raw.substr(head + 4);
                const auto length = findHeader(answer.headers, "Content-Length");
                if (lower(findHeader(answer.headers, "Transfer-Encoding").value_or("")) == "chunked")
                    answer.complete = decodeChunks(rest, answer.body);
                else {
                    answer.body = rest;
                    answer.complete = length ? rest.size() >= std::stoul(*length) : closed;
                }
            }
            if (answer.complete || closed)
                break;
        }
    }
    ::close(socket);
    answer.endedAt = nowMs();
    return answer;
}

Process::Process(const std::string& command, const std::string& settings, const std::string& log)
    : command(command)
    , settings(settings)
    , log(log)
{
    this->start();
}

void Process::start()
{
    const std::string variable = "HICKORYROAD_SETTINGS=" + this->settings;
    const std::string path = "PATH=" + std::string(std::getenv("PATH") ? std::getenv("PATH") : "");
    // The command is split at spaces, as the platform does.
    std::istringstream given(this->command);
    std::vector<std::string> words;
    for (std::string word; given >> word;)
        words.push_back(word);
    std::vector<char*> arguments;
    for (std::string& word : words)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    std::array<char*, 3> environment { const_cast<char*>(variable.c_str()), const_cast<char*>(path.c_str()), nullptr };
    const pid_t parent = ::getpid();
    const pid_t child = ::fork();
    if (child == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent)
            ::_exit(127);
        const int output = ::open(this->log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::execve(arguments[0], arguments.data(), environment.data());
        ::_exit(127);
    }
    this->pid = child;
    const std::lock_guard lock(processMutex);
    processes.push_back(child);
}

Process::~Process() { this->signal(SIGKILL); }

void Process::signal(int number) const { ::kill(this->pid, number); }

bool Process::running() const { return ::waitpid(this->pid, nullptr, WNOHANG) == 0; }

Run::Run()
{
    const auto variable = [](const char* name) {
        const char* value = std::getenv(name);
        if (!value)
            cannotRun(std::string(name) + " is not set; use run.sh");
        return std::string(value);
    };
    this->root = variable("REVIEW_ROOT");
    this->folder = variable("REVIEW_TMP");
    this->caseFolder = variable("REVIEW_CASE");
    const char* given = std::getenv("TROUBLE");
    this->trouble = !given || std::string(given) != "0";
    this->base = ::getpid();
    std::signal(SIGPIPE, SIG_IGN);
    if (::chdir(this->root.c_str()) != 0)
        cannotRun("no folder " + this->root);
}

std::string Run::host(int number) const
{
    return "127." + std::to_string(1 + this->base % 200) + "." + std::to_string(1 + this->base / 200 % 250) + "."
        + std::to_string(number);
}

std::string Run::settings(const std::string& templateName, const std::map<std::string, std::string>& fields) const
{
    std::ifstream file(this->root + "/deploy/" + templateName);
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    if (text.empty())
        cannotRun("no template " + templateName);
    const auto replace = [&](const std::string& from, const std::string& to) {
        for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size()))
            text.replace(at, from.size(), to);
    };
    replace("{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", fields.at("seeds"));
    for (const auto& [name, value] : fields)
        replace("{{" + name + "}}", value);
    if (text.find("{{") != std::string::npos)
        cannotRun("a field of " + templateName + " is not known");
    const std::string path = this->folder + "/" + fields.at("node") + ".toml";
    std::ofstream(path) << text;
    return path;
}

std::map<std::string, std::string> Run::entryFields(
    int number, const std::string& zone, const std::string& store, const std::vector<int>& seeds) const
{
    const std::string ip = this->host(number);
    std::string list;
    for (const int seed : seeds)
        list += (list.empty() ? "\"" : ", \"") + this->host(seed) + ":" + std::to_string(controlPort) + "\"";
    const auto at = [&](std::uint16_t port) { return ip + ":" + std::to_string(port); };
    return { { "node", "edge-" + zone + "-" + std::to_string(number) }, { "zone", zone }, { "region", zone },
        { "ip", ip }, { "internal_ports.0", "7700" }, { "platform.address", store }, { "seeds", list },
        { "listen.front", at(frontPort) }, { "listen.ready", at(readinessPort) },
        { "listen.directory", at(lookupPort) }, { "listen.control", at(controlPort) }, { "bounds.revoke_ms", "5000" },
        { "bounds.version_ms", "8000" }, { "bounds.grace_s", "8" }, { "bounds.retry_budget_ratio", "0.2" },
        { "bounds.budget_extra", "106" }, { "bounds.budget_window_s", "10" } };
}

std::unique_ptr<Process> Run::startEntry(
    int number, const std::string& zone, const std::string& store, const std::vector<int>& seeds) const
{
    const auto fields = this->entryFields(number, zone, store, seeds);
    return std::make_unique<Process>(
        "target/hickory-entry", this->settings("entry.toml", fields), this->folder + "/" + fields.at("node") + ".log");
}

void Run::awaitReady(int number) const
{
    const std::string ip = this->host(number);
    const std::int64_t until = nowMs() + 10000;
    while (nowMs() < until) {
        const Answer answer = call(ip, readinessPort, "GET /api/readiness HTTP/1.1\r\nHost: " + ip + "\r\n\r\n", 1000);
        if (answer.status == 200)
            return;
        sleepMs(50);
    }
    cannotRun("the entry at " + ip + " is not ready");
}

} // namespace review

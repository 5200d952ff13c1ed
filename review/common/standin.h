#pragma once

// Small stand-ins for the platform's store, replicas and requesters, and the processes under test. They use blocking
// sockets and one thread for each connection, and share no code with the project.

#include <atomic>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace review {

/// @return monotonic time in ms
std::int64_t nowMs();
/// @return time since the Unix epoch in ms
std::int64_t wallMs();
void sleepMs(std::int64_t time);

/// Ends the run with exit code 2: the case could not be played.
[[noreturn]] void cannotRun(const std::string& reason);

/// Writes what was sent, answered and run to record.txt, with the time since the start of the run.
class Record {
public:
    explicit Record(const std::string& path);
    void line(const std::string& text);

private:
    std::mutex mutex;
    std::ofstream file;
    std::int64_t startedAt;
};

/// Header fields in order.
using Headers = std::vector<std::pair<std::string, std::string>>;

/// @return value of a header field, or nothing when it is absent
std::optional<std::string> findHeader(const Headers& headers, const std::string& name);

struct Request {
    std::string method;
    std::string target;
    Headers headers;
    std::string body;

    std::string header(const std::string& name) const { return findHeader(this->headers, name).value_or(""); }
    /// @return value of a parameter of the query, empty when it is absent
    std::string query(const std::string& name) const;
};

/// Connection of a stand-in server. All calls are made by the thread of the connection.
class Connection {
public:
    explicit Connection(int socket)
        : socket(socket)
    {
    }
    /// @return the next request, or nothing when the peer closed the connection
    std::optional<Request> read();
    /// @return whether all bytes were taken by the kernel
    bool write(const std::string& bytes) const;
    /// Sends a whole answer with a length.
    bool answer(int status, const Headers& headers, const std::string& body) const;
    /// @return whether the peer has closed the connection
    bool peerClosed() const;

    int socket;

private:
    std::string unread;
};

/// Server with a thread for each connection.
class Server {
public:
    using Handler = std::function<void(Connection&)>;

    /// @param handler runs for each connection, which is closed when it returns
    Server(const std::string& ip, std::uint16_t port, Handler handler);
    /// Closes the listening socket and all connections, as the kernel does when a process ends.
    void stop();
    ~Server();

private:
    void accept();

    int listener;
    Handler handler;
    std::mutex mutex;
    std::vector<int> open;
    std::atomic<bool> stopped { false };
    std::thread acceptor;
};

std::string base64(const std::string& bytes);
/// @return the `engine` of a service of model replicas, with the figures of the small installation
std::string engineProfile(int chunks);
/// @param routes, services JSON objects, separated by commas
/// @return a configuration with one tenant, whose key is "desk-key"
std::string configText(int version, const std::string& routes, const std::string& services);
/// @param headers further header lines, each ended by CRLF
/// @return a request of that tenant to host desk.example
std::string requestText(const std::string& method, const std::string& path, const std::string& attempt,
    std::int64_t deadlineMs, const std::string& headers, const std::string& body);

/// Row of the platform's store.
struct Row {
    std::string value;
    std::uint64_t revision { 0 };
    bool deleted { false };
};

/// The platform's store: rows of tables, their changes, and heartbeats of listed replicas.
class Store {
public:
    Store(const std::string& ip, std::uint16_t port);
    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);

private:
    void serve(Connection& connection);
    std::string rows(const std::string& table, std::uint64_t after, bool withDeleted);
    bool changed(const std::string& table, std::uint64_t after);

    std::mutex mutex;
    std::map<std::string, std::map<std::string, Row>> tables;
    std::uint64_t revision { 0 };
    std::unique_ptr<Server> server;
};

/// Answer to a requester.
struct Answer {
    int status { 0 }; ///< 0 without a head
    Headers headers;
    std::string body;
    bool complete { false }; ///< the body ended as its head announced
    std::int64_t firstByteAt { 0 };
    std::int64_t endedAt { 0 };
};

/// Sends a request on a new connection and reads the answer.
/// @param patience the requester leaves after this long without a byte
Answer call(const std::string& ip, std::uint16_t port, const std::string& request, std::int64_t patience);

/// A process under test. It is killed when the run ends.
class Process {
public:
    /// @param settings file that HICKORYROAD_SETTINGS names
    Process(const std::string& command, const std::string& settings, const std::string& log);
    ~Process();
    void signal(int number) const;
    bool running() const;

private:
    void start();

    std::string command;
    std::string settings;
    std::string log;
    pid_t pid { 0 };
};

/// Ends all processes of the run and the run itself.
[[noreturn]] void finish(int code);

/// Folders and addresses of a run.
struct Run {
    /// Reads REVIEW_ROOT (root of the repository), REVIEW_TMP (temporary folder), REVIEW_CASE (folder of the case) and
    /// TROUBLE.
    Run();
    /// @return loopback address of a simulated host, different for concurrent runs
    std::string host(int number) const;
    /// Renders the template of the deploy file and returns the path of the settings.
    std::string settings(const std::string& templateName, const std::map<std::string, std::string>& fields) const;
    /// @return fields for the template of an entry
    std::map<std::string, std::string> entryFields(
        int number, const std::string& zone, const std::string& store, const std::vector<int>& seeds) const;
    /// Starts an entry with the command of the deploy file.
    std::unique_ptr<Process> startEntry(
        int number, const std::string& zone, const std::string& store, const std::vector<int>& seeds) const;
    /// Waits until an entry answers its readiness address with 200.
    void awaitReady(int number) const;

    std::string root;
    std::string folder;
    std::string caseFolder;
    bool trouble { true };
    int base { 0 };
};

constexpr std::uint16_t frontPort = 8005;
constexpr std::uint16_t readinessPort = 8002;
constexpr std::uint16_t controlPort = 8000;
constexpr std::uint16_t lookupPort = 8009;
constexpr std::uint16_t storePort = 8007;
constexpr std::uint16_t replicaPort = 8080;

} // namespace review

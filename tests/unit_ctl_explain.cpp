#include "ctl_cmd.h"
#include "ctl_explain_func.h"
#include "file_watch_func.h"
#include "program_func.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace hickory;

namespace {

/// Folder of log files that is removed at the end of a test.
struct LogFolder {
    LogFolder() { std::filesystem::create_directories(this->path); }
    ~LogFolder() { std::filesystem::remove_all(this->path); }
    LogFolder(const LogFolder&) = delete;
    LogFolder& operator=(const LogFolder&) = delete;

    /// Appends a line to the log of a host.
    /// @param second second of the line's time
    void write(const std::string& host, const std::string& second, const std::string& fields) const
    {
        std::ofstream(this->path + "/" + host + ".log", std::ios::app)
            << "time=2026-01-22T14:58:" << second << ".000Z level=info program=hickory-entry host=" << host << " "
            << fields << "\n";
    }

    std::string path { "explain-logs-" + std::to_string(getpid()) };
};

CtlResult explain(const LogFolder& logs, const std::string& request)
{
    CtlOptions options { .command = "explain", .arguments = { request } };
    options.logs = logs.path;
    return runExplain(options);
}

} // namespace

// Guards against a timeline that mixes in other requests, for example one whose id begins alike.
TEST_CASE("Log lines of a request are selected by its id and sorted by time", "[explain]")
{
    const std::string sendLine = "time=2026-01-22T14:58:52.561Z level=info program=hickory-entry host=e1 event=send "
                                 "request=ab12 upstream=i-1 try=1";
    const std::string callerLeftLine = "time=2026-01-22T14:58:53.062Z level=info program=hickory-entry host=e1 "
                                       "event=caller-left request=ab12 age_ms=501";
    CHECK(belongsToRequest(sendLine, "ab12"));
    CHECK_FALSE(belongsToRequest(sendLine, "ab1"));
    CHECK_FALSE(belongsToRequest("event=x other_request=ab12", "ab12"));
    CHECK_FALSE(belongsToRequest(sendLine, ""));
    const std::string text = formatRequestTimeline({ callerLeftLine, sendLine });
    CHECK(text
        == "+0 ms e1 event=send request=ab12 upstream=i-1 try=1\n"
           "+501 ms e1 event=caller-left request=ab12 age_ms=501\n");
}

// Guards against a trait that is found as part of another field or of another trait.
TEST_CASE("A line names a trait in its field trait or in its list of traits", "[explain]")
{
    const std::set<std::string> traits { "00000000000000a1", "00000000000000a2" };
    CHECK(namesTrait("event=quarantine trait=00000000000000a1 crashes=2 for_ms=9", traits));
    CHECK(namesTrait("event=upstream-crashed upstream=i traits=00000000000000b1,00000000000000a2", traits));
    CHECK(namesTrait("event=upstream-crashed traits=00000000000000a1 upstream=i", traits));
    CHECK_FALSE(namesTrait("event=upstream-crashed upstream=i traits=00000000000000b1,00000000000000a", traits));
    CHECK_FALSE(namesTrait("event=x other=00000000000000a1 traits=\"\"", traits));
    CHECK_FALSE(namesTrait("event=x", traits));
    CHECK_FALSE(namesTrait("event=x", {}));
    CHECK(namedTraits({ "event=hold trait=a", "event=refuse trait=b", "event=refuse trait=a", "event=send",
              "event=x traits=c" })
        == std::set<std::string> { "a", "b" });
    CHECK(isAboutRequest("event=refuse request=ab12 trait=a"));
    CHECK_FALSE(isAboutRequest("event=quarantine trait=a"));
}

// Guards against a refused request whose explanation does not lead to the crashes behind it.
TEST_CASE("A request refused for a trait is explained with the crashes of all processes that name it", "[explain]")
{
    const LogFolder logs;
    logs.write("e1", "10", "event=upstream-crashed upstream=i-1 traits=00000000000000b1,00000000000000a1");
    logs.write("e2", "12", "event=upstream-crashed upstream=i-2 traits=00000000000000a1");
    logs.write("e2", "11", "event=upstream-crashed upstream=i-3 traits=00000000000000b2");
    logs.write("e2", "13", "event=quarantine trait=00000000000000a1 crashes=2 for_ms=1000");
    logs.write("e1", "14", "event=refuse request=ab12 reason=quarantined trait=00000000000000a1");
    logs.write("e1", "14", "event=refuse request=ab13 reason=quarantined trait=00000000000000a1");
    logs.write("e1", "15", "event=refuse request=ab14 reason=overload");
    const CtlResult refused = explain(logs, "ab12");
    CHECK(refused.exitCode == exitSuccess);
    CHECK(refused.output
        == "+0 ms e1 event=upstream-crashed upstream=i-1 traits=00000000000000b1,00000000000000a1\n"
           "+2000 ms e2 event=upstream-crashed upstream=i-2 traits=00000000000000a1\n"
           "+3000 ms e2 event=quarantine trait=00000000000000a1 crashes=2 for_ms=1000\n"
           "+4000 ms e1 event=refuse request=ab12 reason=quarantined trait=00000000000000a1\n");
    CHECK(refused.message == "lines of other requests that name the same trait: 1");
    const CtlResult overloaded = explain(logs, "ab14");
    CHECK(overloaded.output == "+0 ms e1 event=refuse request=ab14 reason=overload\n");
    CHECK(overloaded.message.empty());
    CHECK(explain(logs, "ab1").exitCode == exitFailure);
}

// Guards against a request whose failure a restored store explains, and whose timeline does not tell of it.
TEST_CASE("A request is explained with the restores of the store that its processes saw around it", "[explain]")
{
    const LogFolder logs;
    logs.write("e1", "10", "event=store-restored table=operators from=1.90 to=2.57");
    logs.write("e2", "10", "event=store-restored table=operators from=1.90 to=2.57");
    logs.write("e1", "40", "event=store-restored table=operators from=2.90 to=3.57");
    logs.write("e1", "14", "event=refuse request=ab12 reason=no-route");
    CHECK(explain(logs, "ab12").output
        == "+0 ms e1 event=store-restored table=operators from=1.90 to=2.57\n"
           "+4000 ms e1 event=refuse request=ab12 reason=no-route\n");
}

// Guards against a settings change that is missed or applied repeatedly, and a deleted file that is taken for a change.
TEST_CASE("A file watch reports a rewritten file once and a deleted file not at all", "[watch]")
{
    const std::string path = "file-watch-" + std::to_string(getpid()) + ".toml";
    std::ofstream(path) << "a = 1\n";
    FileWatch watch = watchFile(path);
    CHECK_FALSE(wasWritten(watch));
    std::ofstream(path) << "a = 2\n";
    std::filesystem::last_write_time(path, *watch.writtenAt + std::chrono::seconds(1));
    CHECK(wasWritten(watch));
    CHECK_FALSE(wasWritten(watch));
    std::filesystem::remove(path);
    CHECK_FALSE(wasWritten(watch));
}

// Guards against a request whose upstream was limited and whose timeline does not say so.
TEST_CASE("The timeline of a request has what its upstreams said of themselves", "[ctl][notice]")
{
    const std::vector<std::string> request {
        "time=2026-05-04T18:20:25.207Z host=entry-1 event=send request=r upstream=u1"
    };
    const auto line = [](const char* time, const char* host, const char* upstream) {
        return std::string("time=2026-05-04T18:20:") + time + "Z host=" + host
            + " event=upstream-limit upstream=" + upstream + " requests_per_second=2 before=none source=answer";
    };
    CHECK(isNoticeNearby(line("20.000", "entry-1", "u1"), request));
    CHECK_FALSE(isNoticeNearby(line("20.000", "entry-1", "u2"), request));
    CHECK_FALSE(isNoticeNearby(line("20.000", "entry-2", "u1"), request));
    CHECK_FALSE(isNoticeNearby(line("05.000", "entry-1", "u1"), request));
}

// Guards against a request with a backup whose timeline does not say whether its upstream was silent or only late.
TEST_CASE("The timeline of a request has the standstills of its upstreams", "[ctl]")
{
    const std::vector<std::string> request {
        "time=2026-05-04T18:20:25.207Z host=entry-1 event=backup request=r silent=u1 silent_ms=420",
        "time=2026-05-04T18:20:24.507Z host=entry-1 event=send request=r upstream=u1"
    };
    const auto line = [](const std::string& event, const std::string& upstream) {
        return "time=2026-05-04T18:20:25.000Z host=entry-1 event=" + event + " upstream=" + upstream;
    };
    CHECK(isNoticeNearby(line("upstream-ejected", "u1") + " reason=standing-still", request));
    CHECK(isNoticeNearby(line("upstream-answers", "u1"), request));
    CHECK_FALSE(isNoticeNearby(line("upstream-answers", "u2"), request));
}

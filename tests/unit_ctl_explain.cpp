#include "ctl_explain_func.h"
#include "file_watch_func.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <unistd.h>

using namespace hickory;

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

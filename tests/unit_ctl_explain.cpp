#include "ctl_explain_func.h"
#include "file_watch_func.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <unistd.h>

using namespace hickory;

TEST_CASE("lines of one request are found and put in order of time", "[explain]")
{
    const std::string sent = "time=2026-01-22T14:58:52.561Z level=info program=hickory-entry host=e1 event=send "
                             "request=ab12 upstream=i-1 try=1";
    const std::string left = "time=2026-01-22T14:58:53.062Z level=info program=hickory-entry host=e1 "
                             "event=caller-left request=ab12 age_ms=501";
    CHECK(concernsRequest(sent, "ab12"));
    CHECK_FALSE(concernsRequest(sent, "ab1"));
    CHECK_FALSE(concernsRequest("event=x other_request=ab12", "ab12"));
    CHECK_FALSE(concernsRequest(sent, ""));
    const std::string text = explainRequest({ left, sent });
    CHECK(text
        == "+0 ms e1 event=send request=ab12 upstream=i-1 try=1\n"
           "+501 ms e1 event=caller-left request=ab12 age_ms=501\n");
}

TEST_CASE("a settings file that was written again is noticed once", "[watch]")
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

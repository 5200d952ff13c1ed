#include "clock_type.h"
#include "event_splitter_func.h"
#include "wire_parser_func.h"

#include <catch2/catch.hpp>

#include <optional>
#include <string>

using namespace hickory;

namespace {

/// Collects the messages of a parser.
struct MessageCollector : WireSink {
    void onHead(WireHead&& received) override { this->head = std::move(received); }
    void onBody(std::string_view bytes) override { this->body.append(bytes); }
    void onComplete() override { ++this->messages; }

    WireHead head; ///< head of the last message
    std::string body; ///< bodies of all messages, concatenated
    int messages { 0 }; ///< number of complete messages
};

constexpr std::size_t maxHeadBytes = 1024;

/// @return whether the parser rejects a request as malformed
bool isMalformed(const std::string& text)
{
    WireParser parser(WireKind::Request, maxHeadBytes);
    MessageCollector sink;
    parser.feed(text, sink);
    return parser.fault() == WireFault::Malformed;
}

} // namespace

// Guards against a message that is misread when it arrives in several pieces.
TEST_CASE("A request is parsed correctly wherever its bytes are split between reads", "[wire]")
{
    const std::string text = "POST /a/b?c=d HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                             "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    for (std::size_t cut = 1; cut < text.size(); ++cut) {
        WireParser parser(WireKind::Request, maxHeadBytes);
        MessageCollector sink;
        CHECK(parser.feed(std::string_view(text).substr(0, cut), sink) == cut);
        CHECK(parser.feed(std::string_view(text).substr(cut), sink) == text.size() - cut);
        CHECK(sink.messages == 1);
        CHECK(sink.body == "abcde");
        CHECK(sink.head.target == "/a/b?c=d");
        CHECK(parser.keepAlive());
    }
}

// Guards against a pipelined request that is taken for part of the body of the previous one.
TEST_CASE("The parser stops at the end of each message", "[wire]")
{
    const std::string one = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    WireParser parser(WireKind::Request, maxHeadBytes);
    MessageCollector sink;
    CHECK(parser.feed(one + one, sink) == one.size());
    CHECK(sink.messages == 1);
    CHECK(parser.feed(one, sink) == one.size());
    CHECK(sink.messages == 2);
}

// Guards against request smuggling: an upstream that sees another end of the message than the entry does.
TEST_CASE("Requests with ambiguous or invalid framing are rejected as malformed", "[wire]")
{
    CHECK(
        isMalformed("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));
    CHECK(isMalformed("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"));
    CHECK(isMalformed("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n"));
    CHECK(isMalformed("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3x\r\n\r\nabc"));
    CHECK(isMalformed("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n"));
    CHECK(isMalformed("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n"));
    CHECK(isMalformed("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n"));
    CHECK(isMalformed("GET / HTTP/1.1\r\nHost : x\r\n\r\n"));
}

// Guards against buffering a head without limit, and against answering it with the status of a malformed one.
TEST_CASE("A head over the size limit is reported as too large, not as malformed", "[wire]")
{
    WireParser parser(WireKind::Request, maxHeadBytes);
    MessageCollector sink;
    parser.feed("GET / HTTP/1.1\r\nA: " + std::string(2 * maxHeadBytes, 'a'), sink);
    CHECK(parser.fault() == WireFault::HeadTooLarge);
}

// Guards against callers that wait until their time is up for what follows an answer without a status, which was taken
// for an interim one (issue 55, MIXED).
TEST_CASE("A response has a status of three digits from 100 to 599", "[wire]")
{
    const auto feed = [](const std::string& line, std::size_t step) {
        WireParser parser(WireKind::Response, maxHeadBytes);
        MessageCollector sink;
        const std::string text = line + "\r\nContent-Length: 0\r\n\r\n";
        for (std::size_t from = 0; from < text.size() && !parser.fault(); from += step)
            parser.feed(std::string_view(text).substr(from, step), sink);
        return parser.fault() ? std::optional<std::uint16_t>() : std::optional(sink.head.status);
    };
    for (const std::size_t step : { 1U, 7U, 100U }) {
        for (const char* status : { "000", "020", "099", "0", "20", "0200", "2000", "200000", "-20", "+200", "2x0",
                 "abc", "", "600", "999", "1000" })
            CHECK_FALSE(feed("HTTP/1.1 " + std::string(status) + " OK", step));
        CHECK_FALSE(feed("HTTP/1.1 000", step));
        CHECK_FALSE(feed("\r\n\r\nHTTP/1.1 000 OK", step));
        CHECK_FALSE(feed("HTTP/1.1", step));
        for (const std::uint16_t status : { 100, 103, 200, 204, 404, 500, 599 }) {
            CHECK(feed("HTTP/1.1 " + std::to_string(status) + " Some long reason of more than a few words", step)
                == status);
            CHECK(feed("HTTP/1.0 " + std::to_string(status), step) == status);
            CHECK(feed("\r\nHTTP/1.1 " + std::to_string(status) + " ", step) == status);
        }
    }
    // After an interim answer too.
    WireParser parser(WireKind::Response, maxHeadBytes);
    MessageCollector sink;
    const std::string text = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n";
    const std::size_t used = parser.feed(text, sink);
    CHECK(sink.messages == 1);
    parser.feed(std::string_view(text).substr(used), sink);
    CHECK(parser.fault() == WireFault::Malformed);
}

// Guards against a response that is never completed because it has neither a length nor chunks.
TEST_CASE("A response without a length ends with the connection", "[wire]")
{
    WireParser parser(WireKind::Response, maxHeadBytes);
    MessageCollector sink;
    parser.feed("HTTP/1.1 200 OK\r\nA: b\r\n\r\nabc", sink);
    CHECK(sink.messages == 0);
    CHECK(parser.finish(sink));
    CHECK(sink.messages == 1);
    CHECK(sink.body == "abc");
}

// Guards against a truncated response that is forwarded as complete.
TEST_CASE("A response cut off before its Content-Length is not complete", "[wire]")
{
    WireParser parser(WireKind::Response, maxHeadBytes);
    MessageCollector sink;
    parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", sink);
    CHECK_FALSE(parser.finish(sink));
    CHECK(sink.messages == 0);
}

// Guards against forwarding part of an event, after which a resumed stream would repeat or lose it.
TEST_CASE("An event stream is split only at event boundaries, wherever reads end", "[wire]")
{
    const std::string text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    for (std::size_t cut = 0; cut <= text.size(); ++cut) {
        EventSplitter splitter;
        std::string whole = splitter.take(std::string_view(text).substr(0, cut));
        CHECK((whole.empty() || whole.ends_with("\n\n") || whole.ends_with("\n\r\n")));
        CHECK(whole + splitter.rest() == text.substr(0, cut));
        whole += splitter.take(std::string_view(text).substr(cut));
        CHECK(whole == text);
        CHECK(splitter.lastId() == "3");
    }
}

// Guards against completing a stream whose upstream stopped in the middle of an event.
TEST_CASE("A stream that ends after a part of an event is recognised as broken off", "[wire]")
{
    const std::string first = "id: 1\r\ndata: a\r\n\r\n";
    const std::string second = "id: 2\ndata: b\n\n";
    EventSplitter splitter;
    CHECK_FALSE(splitter.insideEvent());
    splitter.take(first);
    CHECK_FALSE(splitter.insideEvent());
    splitter.take("\r\n");
    CHECK_FALSE(splitter.insideEvent()); // a further blank line is no event
    for (std::size_t length = 1; length < second.size(); ++length) {
        EventSplitter cut;
        cut.take(first + second.substr(0, length));
        CHECK(cut.insideEvent());
    }
}

// Guards against reading all of a long event again at each of its bytes, which would occupy the loop for minutes.
TEST_CASE("The time to split an event grows with its length, not with the number of reads", "[wire]")
{
    constexpr std::size_t eventBytes = 256U << 10U;
    EventSplitter splitter;
    const Milliseconds start = monotonicNow();
    for (std::size_t count = 0; count < eventBytes && monotonicNow() - start < Milliseconds { 3000 }; ++count)
        splitter.take("x");
    CHECK(splitter.rest().size() == eventBytes);
    CHECK(splitter.take("\n\n").size() == eventBytes + 2);
}

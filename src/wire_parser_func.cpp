#include "wire_parser_func.h"

#include <algorithm>
#include <array>
#include <http_parser.h>

namespace hickory {

namespace {

    char toLower(char letter)
    {
        return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + ('a' - 'A')) : letter;
    }

} // namespace

bool equalNames(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
        && std::equal(left.begin(), left.end(), right.begin(), [](char a, char b) { return toLower(a) == toLower(b); });
}

bool isHopByHop(std::string_view name)
{
    constexpr std::array<std::string_view, 10> names { "Connection", "Keep-Alive", "Proxy-Connection",
        "Transfer-Encoding", "Content-Length", "TE", "Trailer", "Upgrade", "Proxy-Authenticate",
        "Proxy-Authorization" };
    return std::any_of(names.begin(), names.end(), [&](std::string_view hop) { return equalNames(hop, name); });
}

const std::string* WireHead::find(std::string_view name) const
{
    for (const WireHeader& header : this->headers)
        if (equalNames(header.name, name))
            return &header.value;
    return nullptr;
}

struct WireParser::State {
    http_parser parser {}; ///< state of the library
    WireHead head; ///< head being parsed
    bool valueSeen { false }; ///< the last header has a value, so the next name starts a new header
    bool inMessage { false }; ///< a message has begun and has not ended
    bool headComplete { false }; ///< the head of the message is complete
    bool keepAlive { false }; ///< the last complete message allows another one on the connection
    std::size_t headBytes { 0 }; ///< bytes of the head parsed so far
    std::size_t maxHeadBytes { 0 }; ///< limit of headBytes
    std::string statusLine; ///< beginning of the first line of a response, up to maxStatusLine bytes
    bool statusLineRead { false }; ///< the first line of the message has ended
    std::optional<WireFault> fault; ///< reason why parsing failed
    WireSink* sink { nullptr }; ///< set only during feed() and finish()

    /// Keeps the beginning of a response's first line, of which the library tells only a number.
    void readStatusLine(std::string_view bytes);
};

namespace {

    template <typename State> State& stateOf(http_parser* parser) { return *static_cast<State*>(parser->data); }

    constexpr std::size_t maxStatusLine = 24; ///< more than the version, a status and the blanks around them

    /// @return whether a status line has a status of three digits from 100 to 599. The library takes any number up to
    /// 999, whatever its digits, and what is below 200 for an interim answer, after which another one follows.
    bool hasStatus(std::string_view line)
    {
        const std::size_t blank = line.find(' ');
        const std::size_t first = blank == std::string_view::npos ? blank : line.find_first_not_of(' ', blank);
        if (first == std::string_view::npos)
            return false;
        const std::string_view status = line.substr(first, line.find_first_of(" \r", first) - first);
        constexpr std::size_t digits = 3;
        return status.size() == digits && status.find_first_not_of("0123456789") == std::string_view::npos
            && status.front() >= '1' && status.front() <= '5';
    }

    /// @return http_parser callbacks that work on a parser's state. A template, because WireParser::State is private.
    template <typename State> http_parser_settings makeCallbacks()
    {
        http_parser_settings callbacks;
        http_parser_settings_init(&callbacks);
        callbacks.on_message_begin = [](http_parser* parser) {
            State& state = stateOf<State>(parser);
            state.head = {};
            state.valueSeen = true;
            state.inMessage = true;
            state.headComplete = false;
            state.headBytes = 0;
            return 0;
        };
        callbacks.on_url = [](http_parser* parser, const char* at, std::size_t length) {
            stateOf<State>(parser).head.target.append(at, length);
            return 0;
        };
        callbacks.on_status = [](http_parser* parser, const char* at, std::size_t length) {
            stateOf<State>(parser).head.reason.append(at, length);
            return 0;
        };
        callbacks.on_header_field = [](http_parser* parser, const char* at, std::size_t length) {
            State& state = stateOf<State>(parser);
            if (state.headComplete)
                return 0; // trailer fields are dropped
            if (state.valueSeen)
                state.head.headers.emplace_back();
            state.valueSeen = false;
            state.head.headers.back().name.append(at, length);
            return 0;
        };
        callbacks.on_header_value = [](http_parser* parser, const char* at, std::size_t length) {
            State& state = stateOf<State>(parser);
            if (state.headComplete)
                return 0;
            state.valueSeen = true;
            state.head.headers.back().value.append(at, length);
            return 0;
        };
        callbacks.on_headers_complete = [](http_parser* parser) {
            State& state = stateOf<State>(parser);
            state.headComplete = true;
            if (parser->type == HTTP_REQUEST)
                state.head.method = http_method_str(static_cast<http_method>(parser->method));
            state.head.status = static_cast<std::uint16_t>(parser->status_code);
            constexpr int rejectMessage = -1;
            if (parser->type == HTTP_RESPONSE && !hasStatus(state.statusLine))
                return rejectMessage;
            for (const WireHeader& header : state.head.headers)
                if (header.name.find_first_of(" \t") != std::string::npos)
                    return rejectMessage; // parsers disagree on "Transfer-Encoding :", which allows request smuggling
            for (WireHeader& header : state.head.headers)
                while (!header.value.empty() && (header.value.back() == ' ' || header.value.back() == '\t'))
                    header.value.pop_back();
            state.sink->onHead(std::move(state.head));
            return 0;
        };
        callbacks.on_body = [](http_parser* parser, const char* at, std::size_t length) {
            stateOf<State>(parser).sink->onBody({ at, length });
            return 0;
        };
        callbacks.on_message_complete = [](http_parser* parser) {
            State& state = stateOf<State>(parser);
            state.inMessage = false;
            state.keepAlive = http_should_keep_alive(parser) != 0;
            state.sink->onComplete();
            http_parser_pause(parser, 1);
            return 0;
        };
        return callbacks;
    }

} // namespace

void WireParser::State::readStatusLine(std::string_view bytes)
{
    if (!this->inMessage) {
        this->statusLine.clear();
        this->statusLineRead = false;
    }
    if (this->statusLineRead)
        return;
    if (this->statusLine.empty()) // the library skips blank lines before a message
        bytes.remove_prefix(std::min(bytes.find_first_not_of("\r\n"), bytes.size()));
    const std::size_t end = bytes.find('\n');
    this->statusLineRead = end != std::string_view::npos;
    this->statusLine.append(bytes.substr(0, std::min(end, maxStatusLine - this->statusLine.size())));
}

WireParser::WireParser(WireKind kind, std::size_t maxHeadBytes)
    : state(std::make_unique<State>())
{
    http_parser_init(&this->state->parser, kind == WireKind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    this->state->parser.data = this->state.get();
    this->state->maxHeadBytes = maxHeadBytes;
}

WireParser::~WireParser() = default;

void WireParser::setMaxHeadBytes(std::size_t limit) { this->state->maxHeadBytes = limit; }

std::size_t WireParser::feed(std::string_view bytes, WireSink& sink)
{
    static const http_parser_settings callbacks = makeCallbacks<State>();
    State& current = *this->state;
    if (current.fault)
        return 0;
    http_parser_pause(&current.parser, 0);
    if (current.parser.type == HTTP_RESPONSE)
        current.readStatusLine(bytes);
    current.sink = &sink;
    const std::size_t used = http_parser_execute(&current.parser, &callbacks, bytes.data(), bytes.size());
    current.sink = nullptr;
    const auto code = HTTP_PARSER_ERRNO(&current.parser);
    if (!current.headComplete && current.inMessage) {
        current.headBytes += used;
        if (current.headBytes > current.maxHeadBytes)
            current.fault = WireFault::HeadTooLarge;
    }
    if (code == HPE_HEADER_OVERFLOW)
        current.fault = WireFault::HeadTooLarge;
    else if ((code != HPE_OK && code != HPE_PAUSED) || current.parser.upgrade != 0)
        current.fault = WireFault::Malformed;
    return used;
}

bool WireParser::finish(WireSink& sink)
{
    static const http_parser_settings callbacks = makeCallbacks<State>();
    State& current = *this->state;
    if (current.fault)
        return false;
    if (!current.inMessage)
        return true;
    current.sink = &sink;
    http_parser_execute(&current.parser, &callbacks, nullptr, 0);
    current.sink = nullptr;
    return !current.inMessage;
}

std::size_t WireParser::headMemory() const
{
    if (!this->state->inMessage || this->state->headComplete)
        return 0;
    // A string that grows allocates up to twice its length.
    return this->state->head.headers.capacity() * sizeof(WireHeader) + 2 * this->state->headBytes;
}

void WireParser::dropHead()
{
    this->state->head = {};
    this->state->headBytes = 0;
}

std::optional<WireFault> WireParser::fault() const { return this->state->fault; }
bool WireParser::keepAlive() const { return this->state->keepAlive; }
bool WireParser::inMessage() const { return this->state->inMessage; }

} // namespace hickory

#include "log_io.h"

#include "clock_type.h"
#include "metrics_io.h"

#include <array>
#include <atomic>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <ctime>
#include <fstream>
#include <iostream>
#include <mutex>
#include <poll.h>
#include <unistd.h>

namespace hickory {

namespace {

    /// Fields common to all lines and the severity limit; set once by startLog() or startBufferedLog().
    struct LogContext {
        std::string common; ///< " program=... host=..."
        std::atomic<bool> started { false }; ///< lines written earlier are dropped
        std::atomic<LogLevel> level { LogLevel::Info }; ///< lowest severity that is written
    };

    LogContext& context()
    {
        static LogContext value;
        return value;
    }

    constexpr std::size_t bufferLimit = 512U << 10U; ///< bytes kept while standard output is blocked
    constexpr std::size_t maxBytesPerSecond = 1U << 20U; ///< about 4,000 lines: ten times an entry's normal volume

    /// Lines that flushLog() has not written yet.
    struct LogBuffer {
        std::mutex mutex; ///< guards the other members
        std::string lines; ///< complete lines
        std::size_t start { 0 }; ///< offset of the first unwritten byte in lines
        Milliseconds secondStart { 0 }; ///< monotonic time at which the second being measured began
        std::size_t secondBytes { 0 }; ///< bytes accepted in that second

        /// @return whether the line was accepted; false when the buffer is full or the rate is exceeded
        bool append(const std::string& line)
        {
            const std::lock_guard guard(this->mutex);
            constexpr Milliseconds second { 1000 };
            const Milliseconds now = monotonicNow();
            if (now - this->secondStart >= second) {
                this->secondStart = now;
                this->secondBytes = 0;
            }
            if (this->lines.size() - this->start + line.size() > bufferLimit
                || this->secondBytes + line.size() > maxBytesPerSecond)
                return false;
            this->secondBytes += line.size() + 1;
            this->lines.append(line).push_back('\n');
            return true;
        }
    };

    LogBuffer& buffer()
    {
        static LogBuffer value;
        return value;
    }

    /// Boost.Log backend that keeps lines in the buffer.
    class BufferBackend : public boost::log::sinks::basic_formatted_sink_backend<char> {
    public:
        void consume(const boost::log::record_view&, const string_type& line)
        {
            if (!buffer().append(line))
                recordMetric({ .name = "log_lines_left_out_total" });
        }
    };

    const char* levelName(LogLevel level)
    {
        constexpr std::array<const char*, 4> names { "debug", "info", "warning", "error" };
        return names.at(static_cast<std::size_t>(level));
    }

    /// @return the current time in UTC as ISO 8601 with milliseconds
    std::string currentTimeText()
    {
        constexpr std::int64_t millisecondsPerSecond = 1000;
        const std::int64_t now = wallNow().value;
        const std::time_t seconds = now / millisecondsPerSecond;
        std::tm parts {};
        gmtime_r(&seconds, &parts);
        std::array<char, 32> text {};
        std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
        std::string fraction = std::to_string(now % millisecondsPerSecond);
        fraction.insert(0, 3 - fraction.size(), '0');
        return std::string(text.data()) + "." + fraction + "Z";
    }

    /// Appends a value, quoted and escaped where needed.
    void appendValue(std::string& line, const std::string& value)
    {
        const bool plain = !value.empty() && value.find_first_of(" \t\r\n\"=\\") == std::string::npos;
        if (plain) {
            line += value;
            return;
        }
        line += '"';
        for (const char letter : value) {
            if (letter == '\n')
                line += "\\n";
            else if (letter == '\r')
                line += "\\r";
            else {
                if (letter == '"' || letter == '\\')
                    line += '\\';
                line += letter;
            }
        }
        line += '"';
    }

    void appendField(std::string& line, const std::string& key, const std::string& value)
    {
        line += ' ';
        line += key;
        line += '=';
        appendValue(line, value);
    }

    /// Makes a backend the only receiver of lines, and sets the common fields and the severity limit.
    template <typename Backend>
    void setBackend(
        const boost::shared_ptr<Backend>& backend, const std::string& program, const std::string& host, LogLevel level)
    {
        auto sink = boost::make_shared<boost::log::sinks::synchronous_sink<Backend>>(backend);
        sink->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
        boost::log::core::get()->remove_all_sinks();
        boost::log::core::get()->add_sink(sink);
        appendField(context().common, "program", program);
        if (!host.empty())
            appendField(context().common, "host", host);
        context().level = level;
        context().started = true;
    }

} // namespace

void startLog(const std::string& program, const std::string& host, LogLevel level, const std::string& file)
{
    namespace sinks = boost::log::sinks;
    auto backend = boost::make_shared<sinks::text_ostream_backend>();
    if (file.empty())
        backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
    else
        backend->add_stream(boost::make_shared<std::ofstream>(file, std::ios::app));
    // Flush each line, so that the last lines before a crash are not lost.
    backend->auto_flush(true);
    setBackend(backend, program, host, level);
}

void startBufferedLog(const std::string& program, const std::string& host, LogLevel level)
{
    setBackend(boost::make_shared<BufferBackend>(), program, host, level);
}

void flushLog()
{
    LogBuffer& waiting = buffer();
    const std::lock_guard guard(waiting.mutex);
    while (waiting.start < waiting.lines.size()) {
        pollfd output { .fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0 };
        if (::poll(&output, 1, 0) <= 0 || (output.revents & POLLOUT) == 0)
            return;
        // PIPE_BUF: a pipe reported as writable accepts this many bytes without blocking.
        constexpr std::size_t atomicWrite = 4096;
        const std::size_t count = std::min(atomicWrite, waiting.lines.size() - waiting.start);
        const ssize_t written = ::write(STDOUT_FILENO, waiting.lines.data() + waiting.start, count);
        if (written <= 0)
            return;
        waiting.start += static_cast<std::size_t>(written);
    }
    waiting.lines.clear();
    waiting.start = 0;
}

void writeLog(const LogLine& line)
{
    if (!context().started || line.level < context().level)
        return;
    std::string text = "time=" + currentTimeText() + " level=" + levelName(line.level) + context().common;
    appendField(text, "event", line.event);
    for (const auto& [key, value] : line.fields)
        appendField(text, key, value);
    static boost::log::sources::logger_mt logger;
    BOOST_LOG(logger) << text;
}

} // namespace hickory

#include "log_io.h"

#include "clock_type.h"

#include <array>
#include <atomic>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <ctime>
#include <fstream>
#include <iostream>

namespace hickory {

namespace {

    /// Fields that stand on each line, and the level; set once by startLog.
    struct LogContext {
        std::string common; ///< " program=... host=..."
        std::atomic<bool> started { false }; ///< lines before startLog are dropped
        std::atomic<LogLevel> level { LogLevel::Info }; ///< least severity written
    };

    LogContext& context()
    {
        static LogContext value;
        return value;
    }

    const char* levelName(LogLevel level)
    {
        constexpr std::array<const char*, 4> names { "debug", "info", "warning", "error" };
        return names.at(static_cast<std::size_t>(level));
    }

    std::string timeText()
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

} // namespace

void startLog(const std::string& program, const std::string& host, LogLevel level, const std::string& file)
{
    namespace sinks = boost::log::sinks;
    auto backend = boost::make_shared<sinks::text_ostream_backend>();
    if (file.empty())
        backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
    else
        backend->add_stream(boost::make_shared<std::ofstream>(file, std::ios::app));
    // A line must be on disk before the next step: crashes are diagnosed from it.
    backend->auto_flush(true);
    auto sink = boost::make_shared<sinks::synchronous_sink<sinks::text_ostream_backend>>(backend);
    sink->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
    boost::log::core::get()->remove_all_sinks();
    boost::log::core::get()->add_sink(sink);
    appendField(context().common, "program", program);
    if (!host.empty())
        appendField(context().common, "host", host);
    context().level = level;
    context().started = true;
}

void writeLog(const LogLine& line)
{
    if (!context().started || line.level < context().level)
        return;
    std::string text = "time=" + timeText() + " level=" + levelName(line.level) + context().common;
    appendField(text, "event", line.event);
    for (const auto& [key, value] : line.fields)
        appendField(text, key, value);
    static boost::log::sources::logger_mt logger;
    BOOST_LOG(logger) << text;
}

} // namespace hickory

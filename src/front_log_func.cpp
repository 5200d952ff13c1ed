#include "front_log_func.h"

#include "front_idle_func.h"
#include "log_io.h"
#include "metrics_io.h"

namespace hickory {

namespace {

    void appendIdleFields(LogLine& line, const IdleConnection& idle)
    {
        line.fields.emplace_back("idle_ms", std::to_string(idle.time.value));
        line.fields.emplace_back("limit_ms", std::to_string(idle.limit.value));
        line.fields.emplace_back("answers", std::to_string(idle.answers));
        line.fields.emplace_back("unacknowledged", std::to_string(idle.unacknowledged));
    }

} // namespace

const char* closeReasonName(CloseReason reason)
{
    switch (reason) {
    case CloseReason::Idle:
        return "idle";
    case CloseReason::RequestTimeout:
        return "request-timeout";
    case CloseReason::Drain:
        return "drain";
    case CloseReason::Refused:
        return "refused";
    case CloseReason::Aborted:
        return "aborted";
    case CloseReason::AfterAnswer:
        return "after-answer";
    case CloseReason::UnexpectedError:
        return "unexpected-error";
    case CloseReason::Memory:
        return "memory";
    case CloseReason::Descriptors:
        return "descriptors";
    case CloseReason::Crossed:
        return "crossed";
    }
    return "unknown";
}

LogLine closedLogLine(const ClosedConnection& closed, const std::string& request)
{
    const char* stage = "none";
    if (closed.call.value != 0)
        stage = "answer";
    else if (closed.inRequest)
        stage = closed.head.method.empty() ? "head" : "body";
    LogLine line { .level = LogLevel::Warning,
        .event = "connection-closed",
        .fields = { { "reason", closeReasonName(closed.reason) } } };
    if (!closed.detail.empty())
        line.fields.emplace_back("detail", closed.detail);
    if (!request.empty())
        line.fields.emplace_back("request", request);
    line.fields.emplace_back("in", stage);
    line.fields.emplace_back("unparsed", std::to_string(closed.unparsed));
    line.fields.emplace_back("unread", std::to_string(closed.unread));
    line.fields.emplace_back("port", std::to_string(closed.port));
    line.fields.emplace_back("age_ms", std::to_string(closed.age.value));
    appendIdleFields(line, closed.idle);
    return line;
}

LogLine lateReuseLogLine(const IdleConnection& before, const std::string& request)
{
    LogLine line { .event = "connection-reused-late", .fields = { { "request", request } } };
    appendIdleFields(line, before);
    return line;
}

void recordReuse(const IdleConnection& before, const std::string& request)
{
    if (before.answers == 0)
        return;
    recordMetric({ .kind = MetricSample::Kind::Observe,
        .name = "caller_idle_ms",
        .value = static_cast<double>(before.time.value) });
    if (before.time > reusableTime(before.limit))
        writeLog(lateReuseLogLine(before, request));
}

void recordClosed(const ClosedConnection& closed, const std::string& request)
{
    writeLog(closedLogLine(closed, request));
    recordMetric({ .name = "connections_closed_total",
        .labels = std::string("reason=\"") + closeReasonName(closed.reason) + "\"" });
}

} // namespace hickory

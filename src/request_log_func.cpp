#include "request_log_func.h"

#include <array>

namespace hickory {

std::string requestIdText(RequestId request)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text(16, '0');
    std::uint64_t rest = request.value;
    for (auto digit = text.rbegin(); digit != text.rend(); ++digit) {
        *digit = digits[rest & 0xF];
        rest >>= 4U;
    }
    return text;
}

void countMetric(EntryEffects& effects, std::string name, std::string labels)
{
    effects.emplace_back(MetricSample {
        .kind = MetricSample::Kind::Count, .name = std::move(name), .labels = std::move(labels), .value = 1.0 });
}

void observeMetric(EntryEffects& effects, std::string name, std::string labels, Milliseconds value)
{
    effects.emplace_back(MetricSample { .kind = MetricSample::Kind::Observe,
        .name = std::move(name),
        .labels = std::move(labels),
        .value = static_cast<double>(value.value) });
}

LogLine requestLine(std::string event, const Request& request)
{
    LogLine line { .event = std::move(event) };
    line.fields.reserve(8);
    line.fields.emplace_back("request", requestIdText(request.call.request));
    line.fields.emplace_back("service", request.call.service.value);
    line.fields.emplace_back("rank", request.call.rank);
    line.fields.emplace_back("workspace", request.call.workspace.value);
    return line;
}

} // namespace hickory

#include "guard_func.h"

#include "log_io.h"
#include "metrics_io.h"

namespace hickory {

void reportUnexpected(const char* step, const std::string& peer, const char* what)
{
    writeLog({ .level = LogLevel::Error,
        .event = "unexpected-error",
        .fields = { { "step", step }, { "peer", peer }, { "error", what } } });
    recordMetric({ .name = "unexpected_errors_total", .labels = "step=\"" + std::string(step) + "\"" });
}

} // namespace hickory

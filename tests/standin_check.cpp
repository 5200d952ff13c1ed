#include "standin_check.h"

#include "standin_token.h"

#include <algorithm>
#include <cmath>

namespace hickory::standin {

std::string outcomeName(CallerOutcome outcome)
{
    constexpr std::array names { "ok", "not_run", "ran", "unknown", "broken", "wrong", "unreachable" };
    return names.at(static_cast<std::size_t>(outcome));
}

StreamChecker::StreamChecker(std::string givenPrompt, std::uint64_t maxTokens)
    : prompt(std::move(givenPrompt))
    , maxTokens(maxTokens)
{
}

std::size_t StreamChecker::add(const char* data, std::size_t size)
{
    const std::uint64_t before = this->nextIndex;
    this->partialLine.append(data, size);
    std::size_t end = 0;
    while ((end = this->partialLine.find('\n')) != std::string::npos) {
        const std::string line = this->partialLine.substr(0, end);
        this->partialLine.erase(0, end + 1);
        if (!line.empty() && this->firstError.empty())
            this->check(line);
    }
    return this->nextIndex - before;
}

void StreamChecker::check(const std::string& line)
{
    const std::string dataPrefix = "data: ";
    if (line == dataPrefix + "[DONE]") {
        this->endReceived = true;
        this->firstError
            = this->nextIndex == this->maxTokens ? "" : "ended after " + std::to_string(this->nextIndex) + " tokens";
        return;
    }
    const Json event = Json::parse(line.substr(std::min(line.size(), dataPrefix.size())), nullptr, false);
    if (this->endReceived || line.rfind(dataPrefix, 0) != 0 || event.is_discarded()) {
        this->firstError = "unexpected line " + line;
        return;
    }
    const std::string token = event.value("token", "");
    this->version = this->nextIndex == 0 ? tokenVersion(token) : this->version;
    if (event.value("index", ~std::uint64_t { 0 }) != this->nextIndex
        || token != expectedToken(this->prompt, this->version, this->nextIndex)) {
        this->firstError = "token " + std::to_string(this->nextIndex) + " of " + this->version + " is " + line;
        return;
    }
    ++this->nextIndex;
}

bool StreamChecker::complete() const
{
    return this->endReceived && this->firstError.empty() && this->partialLine.empty();
}

double quantile(std::vector<double>& values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
    return values[std::min(values.size() - 1, rank == 0 ? 0 : rank - 1)];
}

} // namespace hickory::standin

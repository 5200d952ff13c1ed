#include "standin_check.h"

#include "standin_token.h"

#include <algorithm>
#include <cmath>

namespace hickory::standin {

std::string outcomeName(Outcome outcome)
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
    const std::uint64_t before = this->next;
    this->rest.append(data, size);
    std::size_t end = 0;
    while ((end = this->rest.find('\n')) != std::string::npos) {
        const std::string line = this->rest.substr(0, end);
        this->rest.erase(0, end + 1);
        if (!line.empty() && this->error.empty())
            this->check(line);
    }
    return this->next - before;
}

void StreamChecker::check(const std::string& line)
{
    const std::string mark = "data: ";
    if (line == mark + "[DONE]") {
        this->ended = true;
        this->error = this->next == this->maxTokens ? "" : "ended after " + std::to_string(this->next) + " tokens";
        return;
    }
    const Json event = Json::parse(line.substr(std::min(line.size(), mark.size())), nullptr, false);
    if (this->ended || line.rfind(mark, 0) != 0 || event.is_discarded()) {
        this->error = "unexpected line " + line;
        return;
    }
    const std::string token = event.value("token", "");
    this->version = this->next == 0 ? tokenVersion(token) : this->version;
    if (event.value("index", ~std::uint64_t { 0 }) != this->next
        || token != expectedToken(this->prompt, this->version, this->next)) {
        this->error = "token " + std::to_string(this->next) + " of " + this->version + " is " + line;
        return;
    }
    ++this->next;
}

bool StreamChecker::complete() const { return this->ended && this->error.empty() && this->rest.empty(); }

double quantile(std::vector<double>& values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
    return values[std::min(values.size() - 1, rank == 0 ? 0 : rank - 1)];
}

} // namespace hickory::standin

#include "query_func.h"

#include <charconv>

namespace hickory {

std::string queryValue(const std::string& target, const std::string& name)
{
    const std::size_t at = target.find(name + "=");
    if (at == std::string::npos)
        return {};
    const std::size_t from = at + name.size() + 1;
    return target.substr(from, target.find('&', from) - from);
}

std::uint64_t queryNumber(const std::string& target, const std::string& name)
{
    const std::string text = queryValue(target, name);
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

} // namespace hickory

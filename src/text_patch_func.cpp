#include "text_patch_func.h"

#include <numeric>
#include <string_view>
#include <unordered_map>

namespace hickory {

namespace {

    /// @return the part of a text from an offset up to the next closing brace, or to the end
    std::string_view partAt(std::string_view text, std::size_t offset)
    {
        const std::size_t brace = text.find('}', offset);
        return text.substr(offset, brace == std::string_view::npos ? brace : brace + 1 - offset);
    }

    /// Appends bytes of the former text to a patch, or lets its last step copy more.
    void appendCopy(TextPatch& patch, std::size_t offset, std::size_t length)
    {
        if (!patch.empty() && patch.back().text.empty() && patch.back().offset + patch.back().length == offset)
            patch.back().length += length;
        else
            patch.push_back({ .offset = offset, .length = length, .text = {} });
    }

    void appendText(TextPatch& patch, std::string_view text)
    {
        if (patch.empty() || patch.back().text.empty())
            patch.push_back({});
        patch.back().text.append(text);
    }

} // namespace

TextPatch makeTextPatch(const std::string& before, const std::string& after)
{
    std::unordered_map<std::string_view, std::size_t> offsets;
    for (std::size_t offset = 0; offset < before.size();) {
        const std::string_view part = partAt(before, offset);
        offsets.try_emplace(part, offset);
        offset += part.size();
    }
    TextPatch patch;
    for (std::size_t position = 0; position < after.size();) {
        const std::string_view part = partAt(after, position);
        position += part.size();
        // Of equal parts the one that continues the last copy is best.
        const bool isCopying = !patch.empty() && patch.back().text.empty();
        const std::size_t next = isCopying ? patch.back().offset + patch.back().length : before.size();
        if (std::string_view(before).substr(next, part.size()) == part)
            appendCopy(patch, next, part.size());
        else if (const auto found = offsets.find(part); found != offsets.end())
            appendCopy(patch, found->second, part.size());
        else
            appendText(patch, part);
    }
    return patch;
}

std::size_t patchBytes(const TextPatch& patch)
{
    constexpr std::size_t stepBytes = 20; ///< two numbers and punctuation
    return std::accumulate(patch.begin(), patch.end(), std::size_t { 0 },
        [](std::size_t sum, const TextPatchStep& step) { return sum + stepBytes + step.text.size(); });
}

std::optional<std::string> applyTextPatch(const std::string& before, const TextPatch& patch)
{
    std::string text;
    for (const TextPatchStep& step : patch) {
        if (step.offset > before.size() || step.length > before.size() - step.offset)
            return std::nullopt;
        text.append(before, step.offset, step.length).append(step.text);
    }
    return text;
}

} // namespace hickory

#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace hickory {

/// One step of a patch: bytes of the former text, or new ones.
struct TextPatchStep {
    std::size_t offset { 0 }; ///< of the bytes to copy, where `text` is empty
    std::size_t length { 0 }; ///< bytes to copy, 0 where `text` is not empty
    std::string text; ///< new bytes
    bool operator==(const TextPatchStep&) const = default;
};

/// Steps that make a text from a former one. Load pattern: a document of thousands of rows of which operators change a
/// few, again and again, and which all entries of a fleet fetch.
using TextPatch = std::vector<TextPatchStep>;

/// Compares two texts by the parts that end with a closing brace: rows of a JSON document, moved or not, are copied.
/// @return a patch that makes `after` from `before`
TextPatch makeTextPatch(const std::string& before, const std::string& after);

/// @return approximate size of a patch when it is sent, in bytes
std::size_t patchBytes(const TextPatch& patch);

/// @return the text, or nothing if a step copies bytes that `before` does not have
std::optional<std::string> applyTextPatch(const std::string& before, const TextPatch& patch);

} // namespace hickory

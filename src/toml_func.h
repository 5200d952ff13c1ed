#pragma once

#include "toml_type.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hickory {

/// Parses a TOML document. Only this function and its helpers depend on the TOML library.
/// @param text TOML source
/// @return the root table, or the line and reason of the syntax error
std::variant<TomlNode, TomlProblem> parseToml(std::string_view text);

/// A value of an enumerated setting and its name in TOML.
template <typename Value> struct NamedValue {
    const char* name;
    Value value;
};

/// Inclusive range of an integer key.
struct IntegerRange {
    std::int64_t low;
    std::int64_t high;
};

/// Inclusive range of a floating-point key.
struct NumberRange {
    double low;
    double high;
};

/// Whether a key may be absent.
enum class Presence : std::uint8_t { Optional, Required };

/// Reads the keys of one table and validates their values. Problems do not stop the reading; only the first is kept.
class TomlReader {
public:
    /// @param table table to read; must outlive the reader
    /// @param path name of the table in messages, empty for the root
    /// @param problem receives the first problem unless it already holds one; must outlive the reader
    TomlReader(const TomlNode& table, std::string path, std::optional<TomlProblem>& problem);

    /// @return the string, or the fallback when the key is absent or not a string; a required string must not be empty
    std::string text(std::string_view key, std::string fallback, Presence presence = Presence::Optional);
    /// Reads a name: 1 to 64 ASCII letters, digits, dots, dashes and underscores.
    /// @return the name, empty when the key is absent
    std::string name(std::string_view key, Presence presence = Presence::Required);
    /// @return the value, even if out of range; the fallback when the key is absent or not an integer
    std::int64_t integer(std::string_view key, std::int64_t fallback, IntegerRange range);
    /// @return the value, even if out of range; the fallback when the key is absent or not a number
    double number(std::string_view key, double fallback, NumberRange range);
    /// @return the value, or the fallback when the key is absent or not a boolean
    bool boolean(std::string_view key, bool fallback);
    /// Reads an array of distinct non-empty strings.
    /// @return the strings, empty when the key is absent
    std::vector<std::string> texts(std::string_view key);
    /// @return the table, or nullptr when the key is absent
    const TomlNode* table(std::string_view key);
    /// @return the elements of an array of tables, empty when the key is absent
    std::vector<const TomlNode*> tables(std::string_view key);

    /// Reads one of a set of named values.
    /// @param names allowed names and their values
    /// @return the value with the name, or the fallback when the key is absent or holds no allowed name
    template <typename Value>
    Value choice(std::string_view key, Value fallback, std::span<const NamedValue<Value>> names,
        Presence presence = Presence::Optional)
    {
        const TomlNode* node = this->lookUp(key, TomlNode::Kind::Text, "a string", presence);
        if (!node)
            return fallback;
        std::string allowed;
        for (const NamedValue<Value>& candidate : names) {
            if (node->text == candidate.name)
                return candidate.value;
            allowed += (allowed.empty() ? "\"" : ", \"") + std::string(candidate.name) + "\"";
        }
        this->fail(key, "\"" + node->text + "\" is not one of " + allowed);
        return fallback;
    }

    /// Records a problem unless there already is one. Its line is that of the key, or of the table when the key is
    /// absent.
    void fail(std::string_view key, const std::string& reason);
    /// Records a problem for a key that was not read. To be called after all keys were read.
    void finish();

private:
    /// Finds a key and checks its kind. An Integer is accepted as a Number.
    /// @param expected description of the kind, for messages
    /// @return the value, or nullptr when the key is absent or of another kind
    const TomlNode* lookUp(
        std::string_view key, TomlNode::Kind kind, const char* expected, Presence presence = Presence::Optional);

    const TomlNode& node; ///< table being read
    std::string path; ///< name of the table in messages, empty for the root
    std::optional<TomlProblem>& problem; ///< first problem
    std::vector<std::string> keysRead; ///< keys looked up so far, present or not
};

} // namespace hickory

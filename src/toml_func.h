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

/// Parses a TOML text. The only place that includes the TOML library.
/// @param text TOML
/// @return the root table, or the place of the syntax error
std::variant<TomlNode, TomlProblem> parseToml(std::string_view text);

/// A value of a setting and its name in the text.
template <typename Value> struct NamedValue {
    const char* name; ///< as written in the text
    Value value; ///< its meaning
};

/// Least and greatest value of an integer key.
struct IntegerRange {
    std::int64_t low; ///< least value allowed
    std::int64_t high; ///< greatest value allowed
};

/// Least and greatest value of a numeric key.
struct NumberRange {
    double low; ///< least value allowed
    double high; ///< greatest value allowed
};

/// Whether a key may be left out.
enum class Presence : std::uint8_t { Optional, Required };

/// Reads one table key by key and checks each value. The first problem found is kept; later ones are dropped.
class TomlReader {
public:
    /// @param table table to read; must outlive the reader
    /// @param path name of the table in messages, empty for the root
    /// @param problem receives the first problem
    TomlReader(const TomlNode& table, std::string path, std::optional<TomlProblem>& problem);

    /// @return the text, or the fallback when the key is absent
    std::string text(std::string_view key, std::string fallback, Presence presence = Presence::Optional);
    /// @return a name: 1 to 64 letters, digits, dots, dashes and underscores
    std::string name(std::string_view key, Presence presence = Presence::Required);
    std::int64_t integer(std::string_view key, std::int64_t fallback, IntegerRange range);
    double number(std::string_view key, double fallback, NumberRange range);
    bool boolean(std::string_view key, bool fallback);
    /// @return the texts of an array, empty when the key is absent
    std::vector<std::string> texts(std::string_view key);
    /// @return the table, or nullptr when the key is absent
    const TomlNode* table(std::string_view key);
    /// @return the tables of an array of tables, empty when the key is absent
    std::vector<const TomlNode*> tables(std::string_view key);

    /// @return the value that the key names
    template <typename Value>
    Value choice(std::string_view key, Value fallback, std::span<const NamedValue<Value>> names,
        Presence presence = Presence::Optional)
    {
        const TomlNode* node = this->take(key, TomlNode::Kind::Text, "a string", presence);
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

    /// Reports a problem at a key of this table, or at the table when the key is absent.
    void fail(std::string_view key, const std::string& reason);
    /// Reports every key that was not read as unknown.
    void finish();

private:
    const TomlNode* take(
        std::string_view key, TomlNode::Kind kind, const char* expected, Presence presence = Presence::Optional);

    const TomlNode& node; ///< table that is read
    std::string path; ///< name of the table in messages
    std::optional<TomlProblem>& problem; ///< first problem
    std::vector<std::string> known; ///< keys that were asked for
};

} // namespace hickory

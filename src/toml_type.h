#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hickory {

/// A value of a TOML text with the line on which it stands, free of the TOML library's types.
struct TomlNode {
    enum class Kind : std::uint8_t { Table, Array, Text, Integer, Number, Boolean, Other };
    Kind kind { Kind::Table }; ///< which of the fields below is set
    std::uint32_t line { 0 }; ///< line in the text, from 1
    std::string key; ///< name within the enclosing table, empty for elements of an array
    std::string text; ///< Text
    std::int64_t integer { 0 }; ///< Integer
    double number { 0.0 }; ///< Number, and the same value as `integer` for Integer
    bool boolean { false }; ///< Boolean
    std::vector<TomlNode> children; ///< members of a Table, elements of an Array

    /// @param name key of a member
    /// @return the member, or nullptr
    const TomlNode* find(std::string_view name) const;
};

/// Why a TOML text was refused.
struct TomlProblem {
    std::uint32_t line { 0 }; ///< line in the text, from 1
    std::string key; ///< key with the names of its tables, empty for a syntax error
    std::string reason; ///< what is wrong, with the allowed range where there is one

    /// @return "line N, key K: reason"
    std::string text() const;
};

} // namespace hickory

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hickory {

/// A value of a parsed TOML document with its line, independent of the types of the TOML library.
struct TomlNode {
    enum class Kind : std::uint8_t {
        Table,
        Array,
        Text, ///< string
        Integer,
        Number, ///< floating-point number
        Boolean,
        Other ///< date or time
    };
    Kind kind { Kind::Table }; ///< which of the value fields below is set
    std::uint32_t line { 0 }; ///< line in the document, from 1
    std::string key; ///< name within the enclosing table, empty for the root and for elements of an array
    std::string text; ///< value of a Text
    std::int64_t integer { 0 }; ///< value of an Integer
    double number { 0.0 }; ///< value of a Number, or of an Integer after conversion
    bool boolean { false }; ///< value of a Boolean
    std::vector<TomlNode> children; ///< members of a Table, elements of an Array

    /// @param name key of a member
    /// @return the member, or nullptr
    const TomlNode* find(std::string_view name) const;
};

/// Why a TOML document was rejected.
struct TomlProblem {
    std::uint32_t line { 0 }; ///< line in the document, from 1
    std::string key; ///< key with the names of its enclosing tables, empty for a syntax error
    std::string reason; ///< what is wrong, with the allowed range where there is one

    /// @return "line N, key K: reason", or "line N: reason" without a key
    std::string text() const;
};

} // namespace hickory

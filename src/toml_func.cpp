#include "toml_func.h"

#include <algorithm>
#include <sstream>
#include <toml++/toml.h>

namespace hickory {

namespace {

    constexpr std::size_t maxNameLength = 64;

    TomlNode convert(const toml::node& source, std::string_view key)
    {
        TomlNode node;
        node.line = source.source().begin.line;
        node.key = key;
        if (const toml::table* table = source.as_table()) {
            for (const auto& [name, value] : *table) {
                node.children.push_back(convert(value, name.str()));
                // The line of the key is reported, since dotted and inline tables have no line of their own.
                node.children.back().line = name.source().begin.line;
            }
        } else if (const toml::array* array = source.as_array()) {
            node.kind = TomlNode::Kind::Array;
            for (const toml::node& element : *array)
                node.children.push_back(convert(element, {}));
        } else if (const auto* text = source.as_string()) {
            node.kind = TomlNode::Kind::Text;
            node.text = text->get();
        } else if (const auto* integer = source.as_integer()) {
            node.kind = TomlNode::Kind::Integer;
            node.integer = integer->get();
            node.number = static_cast<double>(integer->get());
        } else if (const auto* number = source.as_floating_point()) {
            node.kind = TomlNode::Kind::Number;
            node.number = number->get();
        } else if (const auto* boolean = source.as_boolean()) {
            node.kind = TomlNode::Kind::Boolean;
            node.boolean = boolean->get();
        } else
            node.kind = TomlNode::Kind::Other;
        return node;
    }

    template <typename Value> std::string rangeText(Value low, Value high)
    {
        std::ostringstream text;
        text << low << " to " << high;
        return text.str();
    }

    bool isName(const std::string& text)
    {
        const auto allowed = [](char letter) {
            return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z')
                || (letter >= '0' && letter <= '9') || letter == '.' || letter == '-' || letter == '_';
        };
        return !text.empty() && text.size() <= maxNameLength && std::all_of(text.begin(), text.end(), allowed);
    }

} // namespace

const TomlNode* TomlNode::find(std::string_view name) const
{
    for (const TomlNode& child : this->children)
        if (child.key == name)
            return &child;
    return nullptr;
}

std::string TomlProblem::text() const
{
    std::string line = "line " + std::to_string(this->line);
    if (!this->key.empty())
        line += ", key " + this->key;
    return line + ": " + this->reason;
}

std::variant<TomlNode, TomlProblem> parseToml(std::string_view text)
{
    try {
        const toml::table root = toml::parse(text);
        TomlNode node = convert(root, {});
        node.line = 1;
        return node;
    } catch (const toml::parse_error& error) {
        return TomlProblem { .line = error.source().begin.line, .reason = std::string(error.description()) };
    }
}

TomlReader::TomlReader(const TomlNode& table, std::string path, std::optional<TomlProblem>& problem)
    : node(table)
    , path(std::move(path))
    , problem(problem)
{
}

void TomlReader::fail(std::string_view key, const std::string& reason)
{
    if (this->problem)
        return;
    const TomlNode* child = this->node.find(key);
    const std::string prefix = this->path.empty() || key.empty() ? this->path : this->path + ".";
    this->problem = TomlProblem {
        .line = child ? child->line : this->node.line, .key = prefix + std::string(key), .reason = reason
    };
}

const TomlNode* TomlReader::lookUp(std::string_view key, TomlNode::Kind kind, const char* expected, Presence presence)
{
    this->keysRead.emplace_back(key);
    const TomlNode* child = this->node.find(key);
    if (!child) {
        if (presence == Presence::Required)
            this->fail(key, "is missing; expected " + std::string(expected));
        return nullptr;
    }
    const bool fits = child->kind == kind || (kind == TomlNode::Kind::Number && child->kind == TomlNode::Kind::Integer);
    if (!fits) {
        this->fail(key, "expected " + std::string(expected));
        return nullptr;
    }
    return child;
}

std::string TomlReader::text(std::string_view key, std::string fallback, Presence presence)
{
    const TomlNode* child = this->lookUp(key, TomlNode::Kind::Text, "a string", presence);
    if (child && child->text.empty() && presence == Presence::Required)
        this->fail(key, "must not be empty");
    return child ? child->text : std::move(fallback);
}

std::string TomlReader::name(std::string_view key, Presence presence)
{
    const TomlNode* child = this->lookUp(key, TomlNode::Kind::Text, "a string", presence);
    if (!child)
        return {};
    if (!isName(child->text))
        this->fail(key,
            "\"" + child->text + "\" is not a name; expected 1 to 64 letters, digits, dots, dashes or underscores");
    return child->text;
}

std::int64_t TomlReader::integer(std::string_view key, std::int64_t fallback, IntegerRange range)
{
    const TomlNode* child = this->lookUp(key, TomlNode::Kind::Integer, "an integer");
    if (!child)
        return fallback;
    if (child->integer < range.low || child->integer > range.high)
        this->fail(
            key, std::to_string(child->integer) + " is out of range; allowed " + rangeText(range.low, range.high));
    return child->integer;
}

double TomlReader::number(std::string_view key, double fallback, NumberRange range)
{
    const TomlNode* child = this->lookUp(key, TomlNode::Kind::Number, "a number");
    if (!child)
        return fallback;
    // The negated form also rejects NaN.
    if (!(child->number >= range.low && child->number <= range.high)) {
        std::ostringstream value;
        value << child->number;
        this->fail(key, value.str() + " is out of range; allowed " + rangeText(range.low, range.high));
    }
    return child->number;
}

bool TomlReader::boolean(std::string_view key, bool fallback)
{
    const TomlNode* child = this->lookUp(key, TomlNode::Kind::Boolean, "true or false");
    return child ? child->boolean : fallback;
}

std::vector<std::string> TomlReader::texts(std::string_view key)
{
    std::vector<std::string> values;
    const TomlNode* child = this->lookUp(key, TomlNode::Kind::Array, "an array of strings");
    if (!child)
        return values;
    for (const TomlNode& element : child->children) {
        if (element.kind != TomlNode::Kind::Text || element.text.empty())
            this->fail(key, "expected an array of non-empty strings");
        else if (std::find(values.begin(), values.end(), element.text) != values.end())
            this->fail(key, "duplicate value \"" + element.text + "\"");
        else
            values.push_back(element.text);
    }
    return values;
}

const TomlNode* TomlReader::table(std::string_view key) { return this->lookUp(key, TomlNode::Kind::Table, "a table"); }

std::vector<const TomlNode*> TomlReader::tables(std::string_view key)
{
    std::vector<const TomlNode*> values;
    const TomlNode* child = this->lookUp(key, TomlNode::Kind::Array, "an array of tables, written as [[...]]");
    if (!child)
        return values;
    for (const TomlNode& element : child->children) {
        if (element.kind == TomlNode::Kind::Table)
            values.push_back(&element);
        else
            this->fail(key, "expected an array of tables, written as [[...]]");
    }
    return values;
}

void TomlReader::finish()
{
    for (const TomlNode& child : this->node.children)
        if (std::find(this->keysRead.begin(), this->keysRead.end(), child.key) == this->keysRead.end())
            this->fail(child.key, "unknown key");
}

} // namespace hickory

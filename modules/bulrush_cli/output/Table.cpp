#include "bulrush_cli/output/Table.h"

#include <algorithm>

namespace bulrush {

namespace {

using nlohmann::json;

constexpr std::size_t columnGap = 2;
constexpr std::size_t indentWidth = 2;

/** Replaces control characters by '?', so that a node's answer cannot control the terminal. */
std::string replaceControlCharacters(std::string text)
{
    std::replace_if(
            text.begin(), text.end(),
            [](char character) {
                return static_cast<unsigned char>(character) < 0x20 || character == 0x7f;
            },
            '?');
    return text;
}

} // namespace

Table::Table(std::vector<std::string> headings)
    : rows({ std::move(headings) })
{
}

void Table::add(std::vector<std::string> cells)
{
    cells.resize(this->rows.front().size());
    std::transform(cells.begin(), cells.end(), cells.begin(), replaceControlCharacters);
    this->rows.push_back(std::move(cells));
}

std::string Table::text() const
{
    std::vector<std::size_t> widths(this->rows.front().size(), 0);
    for (const auto &row : this->rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    std::string lines;
    for (const auto &row : this->rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += row[i] + std::string(widths[i] - row[i].size() + columnGap, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        lines += line + "\n";
    }
    return lines;
}

std::string cellText(const json &value)
{
    if (value.is_null()) {
        return "-";
    }
    return replaceControlCharacters(value.is_string() ? value.get<std::string>() : value.dump());
}

std::string objectsTable(const json &objects)
{
    if (!objects.is_array() || objects.empty() || !objects.front().is_object()) {
        return indentedText(objects);
    }
    std::vector<std::string> names;
    for (const auto &member : objects.front().items()) {
        names.push_back(member.key());
    }
    Table table(names);
    for (const json &object : objects) {
        std::vector<std::string> cells;
        for (const std::string &name : names) {
            cells.push_back(cellText(object.is_object() ? object.value(name, json()) : json()));
        }
        table.add(std::move(cells));
    }
    return table.text();
}

std::string indentedText(const json &value, std::size_t indent)
{
    const std::string indentation(indent, ' ');
    if (!value.is_structured()) {
        return indentation + cellText(value) + "\n";
    }
    std::string lines;
    for (const auto &member : value.items()) {
        const std::string name =
                value.is_array() ? "-" : replaceControlCharacters(member.key()) + ":";
        if (member.value().is_structured()) {
            lines += indentation + name + "\n" + indentedText(member.value(), indent + indentWidth);
        } else {
            lines += indentation + name + " " + cellText(member.value()) + "\n";
        }
    }
    return lines;
}

} // namespace bulrush

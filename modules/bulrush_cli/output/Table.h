#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace bulrush {

/** A text table with a heading row and aligned columns. */
class Table
{
public:
    explicit Table(std::vector<std::string> headings);

    /** Adds a row; missing cells are left empty. */
    void add(std::vector<std::string> cells);

    bool isEmpty() const { return this->rows.size() == 1; }

    /** Returns the table's lines, each terminated by a line break and without trailing spaces. */
    std::string text() const;

private:
    std::vector<std::vector<std::string>> rows;
};

/** Formats an array of JSON objects as a table with a column for each member of the first. */
std::string objectsTable(const nlohmann::json &objects);

/** Formats a JSON value as indented "name: value" lines. */
std::string indentedText(const nlohmann::json &value, std::size_t indent = 0);

/** Formats a JSON value for display: strings without quotes, "-" for null. */
std::string cellText(const nlohmann::json &value);

} // namespace bulrush

#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace bulrush {

/** Rows of text under headings, printed in aligned columns. */
class Table
{
public:
    explicit Table(std::vector<std::string> headings);

    /** Adds a row; missing cells stay empty. */
    void add(std::vector<std::string> cells);

    bool isEmpty() const { return this->rows.size() == 1; }

    /** Returns the lines, each ended by a line break, without trailing blanks. */
    std::string text() const;

private:
    std::vector<std::vector<std::string>> rows;
};

/** Returns a table of JSON objects: a column for each member of the first. */
std::string tableOf(const nlohmann::json &objects);

/** Returns a JSON value as indented lines "name: value". */
std::string readableText(const nlohmann::json &value, std::size_t indent = 0);

/** Returns a scalar as a person reads it: strings unquoted, "-" for null. */
std::string shownCell(const nlohmann::json &value);

} // namespace bulrush

#pragma once

#include "bulrush_config/bulrush_config.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace bulrush {

/** A record read from a file; id, publisher and supersedes may be missing. */
class RecordFile
{
public:
    /** Reads a file. @throws Error if it cannot be read, FieldError if it is not a JSON object */
    explicit RecordFile(const std::string &path);

    const std::string &path() const { return this->filePath; }

    /** Returns a string field, or nothing if it is missing or not a string. */
    std::optional<std::string> field(const std::string &name) const;

    /** Sets a field if it is missing. */
    void setDefault(const std::string &name, const std::string &value);

    void set(const std::string &name, const std::string &value);

    /** Validates the record, with placeholders for missing optional fields.
        @returns the first problem, if any */
    std::optional<FieldProblem> problem() const;

    /** Returns the record's JSON text, as it is published. */
    std::string text() const { return this->document.dump(); }

    /** Returns "kind/name". */
    std::string title() const;

    /** Returns the record's JSON without id, publisher and supersedes. */
    nlohmann::json declaration() const;

private:
    std::string filePath;
    nlohmann::json document;
};

/** Removes id, publisher and supersedes, which differ at each publication. */
nlohmann::json declarationOf(nlohmann::json record);

} // namespace bulrush

#pragma once

#include "bulrush_config/bulrush_config.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace bulrush {

/** A record as it stands in a file; id, publisher and supersedes may be missing. */
class RecordFile
{
public:
    /** Reads a file. @throws Error when it cannot be read, FieldError when it is no JSON object */
    explicit RecordFile(const std::string &path);

    const std::string &path() const { return this->filePath; }

    /** Returns a text field, or nothing where the file leaves it out. */
    std::optional<std::string> field(const std::string &name) const;

    /** Sets a field that the file leaves out. */
    void setDefault(const std::string &name, const std::string &value);

    /** Sets a field. */
    void set(const std::string &name, const std::string &value);

    /** Returns the first problem, as if fields that may be missing were there. */
    std::optional<FieldProblem> problem() const;

    /** Returns the record's text as it is published. */
    std::string text() const { return this->document.dump(); }

    /** Returns "kind/name". */
    std::string title() const;

    /** Returns what the record declares, without the fields that differ at each publish. */
    nlohmann::json declaration() const;

private:
    std::string filePath;
    nlohmann::json document;
};

/** Returns a record's JSON without the fields that differ at each publish. */
nlohmann::json declarationOf(nlohmann::json record);

} // namespace bulrush

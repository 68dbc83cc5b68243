#include "bulrush_cli/commands/RecordFile.h"

#include "bulrush_config/schemas/StrictJson.h"

#include <array>
#include <fstream>
#include <sstream>

namespace bulrush {

namespace {

using nlohmann::json;

/** The fields that a file may omit, with the placeholders used for validation. */
constexpr std::array<std::pair<const char *, const char *>, 3> optionalFields { {
        { "id", "unset" },
        { "publisher", "unset" },
        { "supersedes", "" },
} };

std::string readText(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    if (!file) {
        throw Error("read record", path, "the file cannot be read");
    }
    return text.str();
}

} // namespace

RecordFile::RecordFile(const std::string &path)
    : filePath(path)
    , document(parseStrictJson(readText(path), {}))
{
    if (!this->document.is_object()) {
        throw FieldError({ "", truncatedJson(this->document), "a JSON object" });
    }
}

std::optional<std::string> RecordFile::field(const std::string &name) const
{
    const auto found = this->document.find(name);
    if (found == this->document.end() || !found->is_string()) {
        return std::nullopt;
    }
    return found->get<std::string>();
}

void RecordFile::setDefault(const std::string &name, const std::string &value)
{
    if (!this->document.contains(name)) {
        this->document[name] = value;
    }
}

void RecordFile::set(const std::string &name, const std::string &value)
{
    this->document[name] = value;
}

std::optional<FieldProblem> RecordFile::problem() const
{
    json complete = this->document;
    for (const auto &[name, value] : optionalFields) {
        if (!complete.contains(name)) {
            complete[name] = value;
        }
    }
    return checkRecord(complete.dump()).problem;
}

std::string RecordFile::title() const
{
    return this->field("kind").value_or("?") + "/" + this->field("name").value_or("?");
}

json RecordFile::declaration() const
{
    return declarationOf(this->document);
}

json declarationOf(json record)
{
    for (const auto &[name, value] : optionalFields) {
        record.erase(name);
    }
    return record;
}

} // namespace bulrush

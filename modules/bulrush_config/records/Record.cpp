#include "bulrush_config/records/Record.h"

#include "bulrush_config/schemas/SchemaValidation.h"
#include "bulrush_config/schemas/StrictJson.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace bulrush {

namespace {

using nlohmann::json;

constexpr std::array kinds {
    std::pair { RecordKind::Service, std::string_view("service") },
    std::pair { RecordKind::Job, std::string_view("job") },
    std::pair { RecordKind::Watcher, std::string_view("watcher") },
    std::pair { RecordKind::Quota, std::string_view("quota") },
    std::pair { RecordKind::Targets, std::string_view("targets") },
    std::pair { RecordKind::Policy, std::string_view("policy") },
    std::pair { RecordKind::Cancellation, std::string_view("cancellation") },
    std::pair { RecordKind::JobDone, std::string_view("job-done") },
};

/** A body field that must equal the record's name. */
struct NameRule
{
    RecordKind kind;
    const char *field;
};

constexpr std::array nameRules {
    NameRule { RecordKind::Quota, "team" },
    NameRule { RecordKind::Cancellation, "job" },
    NameRule { RecordKind::JobDone, "job" },
};

Record readEnvelope(const json &document)
{
    return { document.at("schema"),     document.at("kind"),       document.at("name"),
             document.at("id"),         document.at("supersedes"), document.at("publisher"),
             document.at("body").dump() };
}

int versionOf(const std::string &schema)
{
    return std::stoi(schema.substr(schema.find('/') + 1));
}

int newestKnown(const std::string &kind, const SchemaCeiling &ceiling)
{
    const int builtIn = kindFromName(kind) ? newestVersion(kind) : 0;
    const auto limit = ceiling.find(kind);
    return limit == ceiling.end() ? builtIn : std::min(builtIn, limit->second);
}

std::optional<FieldProblem> checkVersion(const Record &record, const SchemaCeiling &ceiling,
                                         bool &isNewer)
{
    if (record.schema.substr(0, record.schema.find('/')) != record.kind) {
        return FieldProblem { "/schema", "\"" + record.schema + "\"",
                              "a version of kind " + record.kind };
    }
    const int newest = newestKnown(record.kind, ceiling);
    isNewer = versionOf(record.schema) > newest;
    if (!isNewer && isKnownSchema(record.schema)) {
        return std::nullopt;
    }
    const std::string known = newest > 0 ? knownVersions(record.kind) : "a known kind";
    return FieldProblem { "/schema", "unknown version \"" + record.schema + "\"", known };
}

std::optional<FieldProblem> checkName(const Record &record, const json &body)
{
    for (const NameRule &rule : nameRules) {
        if (record.kind == kindName(rule.kind) && body.at(rule.field) != record.name) {
            return FieldProblem { "/name", "\"" + record.name + "\"",
                                  std::string("the same as /body/") + rule.field };
        }
    }
    return std::nullopt;
}

CheckedRecord checkDocument(const json &document, const SchemaCeiling &ceiling)
{
    if (auto problem = checkSchema(document, "record/1", "")) {
        return { std::nullopt, std::move(problem) };
    }
    CheckedRecord checked { readEnvelope(document), std::nullopt };
    const json &body = document.at("body");
    checked.problem = checkVersion(*checked.record, ceiling, checked.isNewer);
    if (!checked.problem) {
        checked.problem = checkSchema(body, checked.record->schema, "/body");
    }
    if (!checked.problem) {
        checked.problem = checkName(*checked.record, body);
    }
    return checked;
}

} // namespace

std::string_view kindName(RecordKind kind)
{
    return kinds.at(static_cast<std::size_t>(kind)).second;
}

std::optional<RecordKind> kindFromName(std::string_view name)
{
    const auto matches = [name](const auto &entry) { return entry.second == name; };
    const auto *const found = std::find_if(kinds.begin(), kinds.end(), matches);
    return found == kinds.end() ? std::nullopt : std::optional(found->first);
}

std::string Record::text() const
{
    const json document {
        { "schema", this->schema },
        { "kind", this->kind },
        { "name", this->name },
        { "id", this->id },
        { "supersedes", this->supersedes },
        { "publisher", this->publisher },
        { "body", json::parse(this->body) },
    };
    return document.dump();
}

CheckedRecord checkRecord(std::string_view text, const SchemaCeiling &ceiling)
{
    try {
        return checkDocument(parseStrictJson(text, {}), ceiling);
    } catch (const FieldError &error) {
        return { std::nullopt, error.problem() };
    }
}

} // namespace bulrush

#include "bulrush_config/schemas/SchemaValidation.h"

#include "bulrush_config/schemas/EmbeddedSchemas.h"
#include "bulrush_config/schemas/StrictJson.h"
#include "bulrush_core/errors/Error.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>
#include <vector>

namespace bulrush {

namespace {

using nlohmann::json;
using valijson::adapters::NlohmannJsonAdapter;

struct LoadedSchema
{
    json document;
    valijson::Schema rules;
};

using LoadedSchemas = std::map<std::string, std::unique_ptr<LoadedSchema>, std::less<>>;

LoadedSchemas loadAll()
{
    LoadedSchemas loaded;
    for (const EmbeddedSchema &embedded : embeddedSchemas()) {
        auto schema = std::make_unique<LoadedSchema>();
        schema->document = json::parse(embedded.text);
        valijson::SchemaParser parser;
        parser.populateSchema(NlohmannJsonAdapter(schema->document), schema->rules);
        loaded.emplace(embedded.name, std::move(schema));
    }
    return loaded;
}

/** Returns the embedded schemas, which are parsed on first use and never change. */
const LoadedSchemas &loadedSchemas()
{
    static const LoadedSchemas loaded = loadAll();
    return loaded;
}

std::string joined(const std::vector<std::string> &words)
{
    std::string text;
    for (const std::string &word : words) {
        text += (text.empty() ? "" : ", ") + word;
    }
    return text;
}

std::string fieldNames(const json &schema)
{
    std::vector<std::string> names;
    for (const auto &[name, field] : schema.at("properties").items()) {
        names.push_back(name);
    }
    return joined(names);
}

void appendBound(std::string &text, const json &schema, const char *key, std::string_view words)
{
    const auto bound = schema.find(key);
    if (bound != schema.end()) {
        text.append(" ").append(words).append(" ").append(bound->dump());
    }
}

/** Returns a description of the values that a schema accepts. */
std::string describeSchema(const json &schema)
{
    const auto choices = schema.find("enum");
    if (choices != schema.end()) {
        return "one of " + choices->dump();
    }
    std::string text = schema.value("type", "a value");
    appendBound(text, schema, "minimum", "from");
    appendBound(text, schema, "maximum", "to");
    appendBound(text, schema, "minItems", "with at least items:");
    appendBound(text, schema, "maxItems", "with at most items:");
    appendBound(text, schema, "minLength", "with at least characters:");
    appendBound(text, schema, "maxLength", "with at most characters:");
    appendBound(text, schema, "pattern", "matching");
    return text;
}

/** Descends from a schema's root to the value that the validator reported. */
class ProblemFinder
{
public:
    ProblemFinder(const json &value, const json &schema, std::string_view prefix)
        : value(&value)
        , schema(&schema)
        , pointer(prefix)
    {
    }

    /** Descends into one element of the validator's context, such as "[targets]" or "[0]".
        @returns whether the value and its schema were found */
    bool descend(const std::string &context)
    {
        const std::string name = context.substr(1, context.size() - 2);
        if (this->value->is_object() && this->value->contains(name)) {
            const auto properties = this->schema->find("properties");
            if (properties == this->schema->end() || !properties->contains(name)) {
                return false;
            }
            this->value = &this->value->at(name);
            this->schema = &properties->at(name);
        } else if (this->value->is_array()) {
            this->value = &this->value->at(static_cast<std::size_t>(std::stoul(name)));
            this->schema = &this->schema->at("items");
        } else {
            return false;
        }
        this->pointer += "/" + name;
        return true;
    }

    FieldProblem problem() const
    {
        if (this->value->is_object() && this->schema->contains("properties")) {
            if (auto found = this->findFieldProblem()) {
                return *found;
            }
        }
        return { this->pointer, truncatedJson(*this->value), describeSchema(*this->schema) };
    }

private:
    std::optional<FieldProblem> findFieldProblem() const
    {
        for (const auto &[name, field] : this->value->items()) {
            if (!this->schema->at("properties").contains(name)) {
                return FieldProblem { this->pointer + "/" + name, "an unknown field",
                                      "only " + fieldNames(*this->schema) };
            }
        }
        for (const json &required : this->schema->value("required", json::array())) {
            const auto &name = required.get_ref<const std::string &>();
            if (!this->value->contains(name)) {
                return FieldProblem { this->pointer + "/" + name, "nothing",
                                      describeSchema(this->schema->at("properties").at(name)) };
            }
        }
        return std::nullopt;
    }

    const json *value;
    const json *schema;
    std::string pointer;
};

} // namespace

bool isKnownSchema(std::string_view schemaName)
{
    return loadedSchemas().find(schemaName) != loadedSchemas().end();
}

std::string knownVersions(std::string_view kind)
{
    std::vector<std::string> names;
    for (const auto &[name, schema] : loadedSchemas()) {
        if (name.substr(0, name.find('/')) == kind) {
            names.push_back(name);
        }
    }
    return joined(names);
}

int newestVersion(std::string_view kind)
{
    int newest = 0;
    for (const auto &[name, schema] : loadedSchemas()) {
        const std::size_t slash = name.find('/');
        if (name.substr(0, slash) == kind) {
            newest = std::max(newest, std::stoi(name.substr(slash + 1)));
        }
    }
    return newest;
}

std::optional<FieldProblem> checkSchema(const json &value, std::string_view schemaName,
                                        std::string_view prefix)
{
    const auto loaded = loadedSchemas().find(schemaName);
    if (loaded == loadedSchemas().end()) {
        throw Error("check schema", schemaName, "no such schema");
    }
    // The validator caches compiled patterns. It is not thread-safe, so each thread has its own.
    thread_local valijson::Validator validator(valijson::Validator::kStrongTypes);
    valijson::ValidationResults results;
    if (validator.validate(loaded->second->rules, NlohmannJsonAdapter(value), &results)) {
        return std::nullopt;
    }
    ProblemFinder finder(value, loaded->second->document, prefix);
    valijson::ValidationResults::Error first;
    results.popError(first);
    for (std::size_t level = 1; level < first.context.size(); ++level) {
        if (!finder.descend(first.context[level])) {
            break;
        }
    }
    return finder.problem();
}

} // namespace bulrush

#pragma once

#include "bulrush_config/schemas/FieldProblem.h"

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace bulrush {

/** Returns whether a schema of this name and version, such as "service/2", is built in. */
bool isKnownSchema(std::string_view schemaName);

/** Returns the known versions of a kind as text, such as "service/1, service/2"; may be empty. */
std::string knownVersions(std::string_view kind);

/** Returns the newest known version of a kind, or 0 where the kind is unknown. */
int newestVersion(std::string_view kind);

/**
    Checks a value against a schema.

    @param value      the parsed JSON value
    @param schemaName a known schema, such as "service/2"
    @param prefix     JSON pointer of the value within its text, such as "/body"
    @returns the first problem, or nothing if the value is valid
*/
std::optional<FieldProblem> checkSchema(const nlohmann::json &value, std::string_view schemaName,
                                        std::string_view prefix);

} // namespace bulrush

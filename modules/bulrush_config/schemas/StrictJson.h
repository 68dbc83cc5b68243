#pragma once

#include "bulrush_config/schemas/FieldProblem.h"

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <string_view>
#include <variant>

namespace bulrush {

/** Limits for a JSON text from an external source. */
struct JsonBounds
{
    std::size_t maxBytes = 65'536;
    std::size_t maxDepth = 16;
    std::size_t maxStringBytes = 1'024;
};

/**
    Parses a JSON text from an external source. Rejects a text that exceeds the bounds, a duplicate
    key and invalid JSON syntax.

    @throws FieldError
*/
nlohmann::json parseStrictJson(std::string_view text, const JsonBounds &bounds);

/** Returns a value as shown in a FieldProblem: its JSON text, truncated. */
std::string truncatedJson(const nlohmann::json &value);

} // namespace bulrush

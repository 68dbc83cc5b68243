#pragma once

#include <span>
#include <string_view>

namespace bulrush {

/** One JSON schema of the folder schemas/, built into the library. */
struct EmbeddedSchema
{
    /** Name and version, such as "service/2". */
    std::string_view name;

    /** The schema's JSON text. */
    std::string_view text;
};

/** Returns all schemas, sorted by name. */
std::span<const EmbeddedSchema> embeddedSchemas();

} // namespace bulrush

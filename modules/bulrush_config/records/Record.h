#pragma once

#include "bulrush_config/schemas/FieldProblem.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace bulrush {

/** What a record declares. JobDone is written by the system, the others by operators. */
enum class RecordKind : std::uint8_t {
    Service,
    Job,
    Watcher,
    Quota,
    Targets,
    Policy,
    Cancellation,
    JobDone,
};

/** Returns a kind's name in records, such as "service". */
std::string_view kindName(RecordKind kind);

/** Returns the kind of a name, or nothing. */
std::optional<RecordKind> kindOfName(std::string_view name);

/** A versioned record on the configuration stream. */
struct Record
{
    /** Schema name and version, such as "service/2". */
    std::string schema;

    /** The kind's name; a newer software's kind may be unknown here. @see kindOfName */
    std::string kind;

    std::string name;

    /** Unique for each publish; a retry of the same publish repeats it. */
    std::string id;

    /** Id of the record in force that this one replaces; empty for the first of a name. */
    std::string supersedes;

    std::string publisher;

    /** JSON text of the body. @see RecordBodies.h */
    std::string body;

    bool operator==(const Record &) const = default;

    /** Returns the record's JSON text as it stands on the log. */
    std::string text() const;
};

/** A record's text, checked. */
struct CheckedRecord
{
    /** The envelope, where it could be read; its body is checked only without a problem. */
    std::optional<Record> record;

    /** The first problem, or nothing when the record is valid. */
    std::optional<FieldProblem> problem;

    /** Whether the record is of a version or kind that only newer software knows. */
    bool isNewer = false;
};

/** The newest versions that count as known, by kind; others as built in. For older software's view.
 */
using SchemaCeiling = std::map<std::string, int, std::less<>>;

/** Checks a record's text: size, grammar, envelope, schema version, body. Never throws. */
CheckedRecord checkRecord(std::string_view text, const SchemaCeiling &ceiling = {});

} // namespace bulrush

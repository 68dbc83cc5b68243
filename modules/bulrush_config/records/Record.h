#pragma once

#include "bulrush_config/schemas/FieldProblem.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace bulrush {

/** The kind of a record. JobDone is written by the system, the others by operators. */
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

/** Returns the kind with this name, or nothing. */
std::optional<RecordKind> kindFromName(std::string_view name);

/** A versioned record on the configuration stream. */
struct Record
{
    /** Schema name and version, such as "service/2". */
    std::string schema;

    /** The kind's name. A kind of newer software may be unknown here. @see kindFromName */
    std::string kind;

    std::string name;

    /** Unique for each publication; a retry of the same publication reuses it. */
    std::string id;

    /** Id of the record in force that this one replaces; empty for the first record of a name. */
    std::string supersedes;

    std::string publisher;

    /** JSON text of the body. @see RecordBodies.h */
    std::string body;

    bool operator==(const Record &) const = default;

    /** Returns the record's JSON text as written to the log. */
    std::string text() const;
};

/** The result of checking a record's text. */
struct CheckedRecord
{
    /** The envelope, if it could be read; its body is valid only if there is no problem. */
    std::optional<Record> record;

    /** The first problem, or nothing if the record is valid. */
    std::optional<FieldProblem> problem;

    /** Whether the record has a version or kind that only newer software knows. */
    bool isNewer = false;
};

/** The newest schema version that counts as known, by kind; the built-in version for other kinds.
    Reproduces the view of older software. */
using SchemaCeiling = std::map<std::string, int, std::less<>>;

/** Checks a record's text: size, JSON syntax, envelope, schema version and body. Never throws. */
CheckedRecord checkRecord(std::string_view text, const SchemaCeiling &ceiling = {});

} // namespace bulrush

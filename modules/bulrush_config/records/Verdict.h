#pragma once

#include "bulrush_core/log/LogTypes.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace bulrush {

/** The outcome of applying a log entry. */
enum class RecordOutcome : std::uint8_t {
    /** In force from this offset on. */
    Accepted,

    /** Not applied on any node. */
    Refused,

    /** A duplicate, or an entry that is not a record; nothing changed. */
    Ignored,

    /** Not judged on this node, as an earlier record of the name needs newer software. */
    Held,
};

/** Returns an outcome's name, such as "accepted". */
std::string_view outcomeName(RecordOutcome outcome);

/** The verdict on one log entry, as returned to its publisher and kept in the audit trail. */
struct Verdict
{
    LogOffset offset = 0;
    RecordOutcome outcome = RecordOutcome::Ignored;
    std::string kind;
    std::string name;
    std::string id;
    std::string supersedes;
    std::string publisher;

    /** Why the record was not accepted. */
    std::string reason;

    /** Id of the record that was accepted in place of this one, if any. */
    std::string winner;

    /** Publisher of the winner. */
    std::string winnerPublisher;
};

} // namespace bulrush

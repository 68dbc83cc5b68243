#pragma once

#include "bulrush_core/log/LogTypes.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace bulrush {

/** What the rule of succession made of a log entry. */
enum class RecordOutcome : std::uint8_t {
    /** In force from this offset on. */
    Accepted,

    /** Not applied, on no node. */
    Refused,

    /** A repetition or an entry that is no record; nothing changed. */
    Ignored,

    /** Not judged here, as an earlier record of the name needs newer software. */
    Held,
};

/** Returns an outcome's name, such as "accepted". */
std::string_view outcomeName(RecordOutcome outcome);

/** The verdict on one log entry, as told to its publisher and kept in the audit trail. */
struct Verdict
{
    LogOffset offset = 0;
    RecordOutcome outcome = RecordOutcome::Ignored;
    std::string kind;
    std::string name;
    std::string id;
    std::string supersedes;
    std::string publisher;

    /** Why it was not accepted. */
    std::string reason;

    /** Id of the record that won the race, where there was one. */
    std::string winner;

    /** Who published the winner. */
    std::string winnerPublisher;
};

} // namespace bulrush

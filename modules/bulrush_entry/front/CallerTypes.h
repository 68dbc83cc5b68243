#pragma once

#include "bulrush_core/time/Clock.h"
#include "bulrush_steps/model/StepJob.h"

#include <cstdint>
#include <optional>
#include <string>

namespace bulrush {

/** What a caller wants. */
enum class CallerWish : std::uint8_t { Submit, Query, Cancel, CountWaiting, Unsupported };

/** A caller's request, decoded as far as that needs no configuration. */
struct CallerRequest
{
    CallerWish wish = CallerWish::Unsupported;
    std::string host;
    std::string path;
    std::string body;
    /** How long the caller waits for an answer. */
    std::optional<milliseconds> timeLimit;
};

/** What a caller is told. */
enum class CallerOutcome : std::uint8_t {
    /** The job is on record. */
    Accepted,
    /** The job is not on record and never runs. */
    Refused,
    NoSuchQueue,
    Malformed,
    /** Whether it is on record is unknown. */
    Unknown,
    /** The answer holds a job's state. */
    State,
    /** The cancellation is on record. */
    Cancelled,
    /** There is no such job. */
    NoSuchJob,
    /** The answer holds a number of waiting jobs. */
    Waiting,
};

struct CallerAnswer
{
    CallerOutcome outcome = CallerOutcome::Unknown;
    JobState state = JobState::Queued;
    std::uint32_t waiting = 0;
    std::string reason;
    /** When the caller may come again with a chance. */
    std::optional<milliseconds> retryAfter;
};

} // namespace bulrush

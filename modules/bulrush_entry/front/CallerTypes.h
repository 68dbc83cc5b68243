#pragma once

#include "bulrush_core/time/Clock.h"
#include "bulrush_steps/model/StepJob.h"

#include <cstdint>
#include <optional>
#include <string>

namespace bulrush {

/** What a request asks for. */
enum class CallerRequestKind : std::uint8_t { Submit, Query, Cancel, CountWaiting, Unsupported };

/** A caller's request, decoded as far as possible without the configuration. */
struct CallerRequest
{
    CallerRequestKind kind = CallerRequestKind::Unsupported;
    std::string host;
    std::string path;
    std::string body;
    /** How long the caller waits for an answer. */
    std::optional<milliseconds> timeLimit;
};

/** The outcome of a request, as reported to the caller. */
enum class CallerOutcome : std::uint8_t {
    /** The job is recorded in the log. */
    Accepted,
    /** The job is not recorded in the log and never runs. */
    Refused,
    NoSuchQueue,
    Malformed,
    /** Whether the job or the cancellation is recorded in the log is unknown. */
    Unknown,
    /** The answer contains a job's state. */
    State,
    /** The cancellation is recorded in the log. */
    Cancelled,
    /** The job is not on record. If it was to be cancelled, a cancellation is on record that holds
        for a record of the job that arrives later. */
    NoSuchJob,
    /** The answer contains the number of waiting jobs. */
    Waiting,
};

struct CallerAnswer
{
    CallerOutcome outcome = CallerOutcome::Unknown;
    JobState state = JobState::Queued;
    std::uint32_t waiting = 0;
    std::string reason;
    /** Delay after which a retry may succeed. */
    std::optional<milliseconds> retryAfter;
};

} // namespace bulrush

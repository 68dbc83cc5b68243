#pragma once

#include "bulrush_ownership/streams/FencedStream.h"
#include "bulrush_tasks/model/Task.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bulrush {

/** The decision to run an attempt on a worker; on record before the start is sent. */
struct IntentRecord
{
    AttemptId attempt;
    VmId worker;
    TaskKind kind = TaskKind::Batch;
    Resources need;
    std::int64_t runMs = 0;
    std::string checkpoint; ///< where it resumes
};

/** The end of an attempt; on record before the worker is told to forget it. */
struct EndRecord
{
    AttemptId attempt;
    Outcome outcome = Outcome::Finished;
    std::string checkpoint; ///< where the next attempt resumes
    std::string result;
};

/** A checkpoint that a running attempt wrote. */
struct CheckpointRecord
{
    AttemptId attempt;
    std::string checkpoint;
};

/** Completed tasks that the group's state need not remember any more. */
struct DropRecord
{
    JobId job;
    std::uint32_t first = 0;
    std::uint32_t last = 0;
};

using GroupRecord = std::variant<IntentRecord, EndRecord, CheckpointRecord, DropRecord>;

/** Records that are appended together: one append a batch. */
struct GroupBatch
{
    Epoch epoch = 0;
    std::uint64_t sequence = 0; ///< 0 for a fence, which holds no record
    std::vector<GroupRecord> records;
};

/** Returns a batch's payload for a group's stream. */
std::string encode(const GroupBatch &batch);

/** Returns the batch in a payload, or nothing for anything else. */
std::optional<GroupBatch> decodeGroupBatch(std::string_view payload);

} // namespace bulrush

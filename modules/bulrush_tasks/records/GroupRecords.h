#pragma once

#include "bulrush_ownership/streams/FencedStream.h"
#include "bulrush_tasks/model/Task.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bulrush {

/** The decision to run an attempt on a worker; read back from the log before the start is sent. */
struct IntentRecord
{
    AttemptId attempt;
    VmId worker;
    TaskKind kind = TaskKind::Batch;
    Resources need;
    std::int64_t runMs = 0;
    std::string checkpoint; ///< where the attempt resumes
};

/** The end of an attempt; read back from the log before the worker is told to forget it. */
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

/** A range of completed tasks that is removed from the group's state. */
struct DropRecord
{
    JobId job;
    std::uint32_t first = 0;
    std::uint32_t last = 0; ///< included
};

using GroupRecord = std::variant<IntentRecord, EndRecord, CheckpointRecord, DropRecord>;

/** The records of one append to a group's stream. */
struct GroupBatch
{
    Epoch epoch = 0;
    std::uint64_t sequence = 0; ///< 0 for a fence, which holds no records
    std::vector<GroupRecord> records;
};

/** Returns the payload of a batch in a group's stream. */
std::string encode(const GroupBatch &batch);

/** Returns the batch in a payload, or nothing if it does not hold a valid batch. */
std::optional<GroupBatch> decodeGroupBatch(std::string_view payload);

} // namespace bulrush

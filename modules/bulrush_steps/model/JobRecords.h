#pragma once

#include "bulrush_steps/model/StepJob.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace bulrush {

/** The recorded progress of one task that has succeeded or failed at least once. */
struct TaskProgress
{
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    bool succeeded = false;
    /** Attempts that were counted as failed. */
    std::vector<std::uint64_t> failedAttempts;
    /** As in StepTask. */
    std::vector<std::uint64_t> crashedAttempts;
    std::vector<std::uint64_t> youngCrashes;
    /** As in StepTask. */
    std::optional<TargetId> assignedTo;
    /** Of a long-running task: since when it waits, in calendar time. @see
        StepTask::recordedWaitsSince */
    std::optional<UnixMillis> waitsSince = std::nullopt;
};

/** Names the record of a part of a job's progress. Each part holds tasksPerProgressPart tasks, so
    that no record becomes longer than the store takes; the first one also holds the job's end. */
struct ProgressPart
{
    JobId job;
    std::uint32_t number = 0;

    bool isFirst() const { return this->number == 0; }

    bool operator==(const ProgressPart &) const = default;
    bool operator<(const ProgressPart &other) const
    {
        return std::tie(this->job, this->number) < std::tie(other.job, other.number);
    }
};

/** The number of tasks in one part of a job's progress. It determines the keys of the records. */
constexpr std::size_t tasksPerProgressPart = 256;

/** Returns the part that holds a task. */
ProgressPart progressPartOf(const StepJob &job, const TaskRef &task);

/** Returns the number of parts of a job's progress. */
std::uint32_t progressPartCount(const StepJob &job);

/** The recorded progress of a job, or of a part of it. */
struct JobProgress
{
    JobId job;
    /** Whether the job has ended because all tasks succeeded. */
    bool succeeded = false;
    /** Whether the job has ended because a task failed too often. */
    bool failed = false;
    std::vector<TaskProgress> tasks;
};

/** A caller's cancellation of a job. */
struct Cancellation
{
    /** When the job was cancelled, in calendar time, if it was not on record then. Such a
        cancellation holds for a job that is accepted before or soon after it, any other without a
        limit. All nodes decide alike, in whatever order they read the records. */
    std::optional<UnixMillis> earlyAt;

    /** Returns whether a job is cancelled that was accepted at a calendar time. */
    bool holdsFor(UnixMillis acceptedAt) const;

    /** Returns whether no job will be recorded any more that it holds for. */
    bool hasExpired(UnixMillis now) const;
};

/** An owner's announcement that it sends commands. */
struct OwnerRecord
{
    std::uint64_t fencingToken = 0;
    /** The owner's name in the group, which identifies its process. */
    std::string member;
    /** Whether it starts a long-running task on a worker only after the task's record names that
        worker. Earlier versions do not. */
    bool recordsAssignments = false;
    /** Whether, until its roster is on record, it starts nothing, and renews leases only while no
        other node can be the owner. Earlier versions do not. */
    bool commandsAfterRoster = false;
};

/** An owner's record of the workers that may run its tasks, and of the former owners that it waits
    for. */
struct Roster
{
    std::vector<TargetId> workers;
    /** The owner that wrote it; 0 when an earlier version wrote it. */
    std::uint64_t fencingToken = 0;
    /** The former owners that this owner waited for. */
    std::vector<OwnerRecord> formerOwners;
    /** Of the writer, as in OwnerRecord. */
    bool recordsAssignments = false;
};

/** A former owner whose commands may still take effect, and for how long. */
struct UnsettledOwner
{
    /** 0 when the owner is unknown. */
    std::uint64_t fencingToken = 0;
    milliseconds left { 0 };
    /** As in OwnerRecord. */
    bool recordsAssignments = false;

    bool operator==(const UnsettledOwner &) const = default;
};

/** An owner's declaration that it sends no more commands. */
struct Resignation
{
    std::uint64_t fencingToken = 0;
    /** This owner's own predecessors that it had not accounted for. */
    std::vector<UnsettledOwner> unsettled;
};

/** Encodes and decodes the keys and values of the scheduler's own records. Values are JSON with a
    schema version. */
namespace records {

/** Returns the key of the record of an accepted job. */
std::string jobKey(const JobId &job);

/** Returns the key of a part of a job's progress. Earlier versions know the first part only. */
std::string progressKey(const ProgressPart &part);

/** Returns the key of the record of a cancelled job. */
std::string cancellationKey(const JobId &job);

/** Returns the key of the newest owner's record, in which it announces its fencing token. */
std::string newestOwnerKey();

/** Returns the key of the record of one owner, which stays until no command of it can take effect
    any more. */
std::string ownerKey(std::uint64_t fencingToken);

/** Returns the key of an owner's resignation record. */
std::string resignationKey(std::uint64_t fencingToken);

/** Returns the key under which earlier versions look for the newest resignation. */
std::string newestResignationKey();

/** Returns the key of the roster: the list of workers that may run tasks. */
std::string rosterKey();

/** The kind of a record, which its key determines. */
enum class KeyKind : std::uint8_t {
    /** Of a job or of the first part of its progress. */
    Job,
    /** Of a later part of a job's progress. */
    LaterProgress,
    Cancellation,
    Owner,
    Resignation,
    Roster,
    Unknown
};

struct ParsedKey
{
    KeyKind kind = KeyKind::Unknown;
    JobId job;
    /** Of the record of one owner or of one resignation; 0 otherwise. */
    std::uint64_t fencingToken = 0;
    /** Of a part of a job's progress; 0 otherwise. */
    std::uint32_t part = 0;
};

/** Returns the kind of a key, Unknown where it matches none, and the job that it names, if any. */
ParsedKey parseKey(std::string_view key);

std::string encode(const StepJob &job);
std::string encode(const JobProgress &progress);
std::string encode(const Roster &roster);
std::string encode(const OwnerRecord &owner);
std::string encode(const Cancellation &cancellation);
std::string encodeResignation(const Resignation &resignation);

/** @throws Error naming the field when the record is malformed */
StepJob decodeJob(std::string_view value);
JobProgress decodeProgress(std::string_view key, std::string_view value);
Roster decodeRoster(std::string_view value);
OwnerRecord decodeOwner(std::string_view value);
Resignation decodeResignation(std::string_view value);

/** Reads a cancellation. It holds whatever its value is, so a malformed one has no time. */
Cancellation decodeCancellation(std::string_view value);

} // namespace records

} // namespace bulrush

#pragma once

#include "bulrush_steps/model/StepJob.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush {

/** What is on record of one task that ended at least once. */
struct TaskProgress
{
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    bool succeeded = false;
    /** Attempts whose failure was counted. */
    std::vector<std::uint64_t> failedAttempts;
};

/** What is on record of a job's ends. */
struct JobProgress
{
    JobId job;
    /** Whether the job is over: all tasks succeeded, or one failed too often. */
    bool succeeded = false;
    bool failed = false;
    std::vector<TaskProgress> tasks;
};

/** An owner's word that it orders nothing any more. */
struct Resignation
{
    std::uint64_t fencingToken = 0;
    /** For how long yet orders of its own predecessors may have an effect; 0 where it had accounted
        for all of them. */
    milliseconds unsettledFor { 0 };
};

/** The keys and values of the scheduler's own records, JSON with a schema version. */
namespace records {

/** Returns the key of a job's acceptance. */
std::string jobKey(const JobId &job);

/** Returns the key of a job's cancellation. */
std::string cancellationKey(const JobId &job);

/** Returns the key of an owner's mark. */
std::string ownerKey();

/** Returns the key of an owner's word that it orders nothing any more. */
std::string resignationKey();

/** Returns the key of the list of workers that may hold tasks. */
std::string rosterKey();

/** What a key of the jobs' stream stands for. */
enum class KeyKind : std::uint8_t { Job, Cancellation, Owner, Resignation, Roster, Unknown };

struct ParsedKey
{
    KeyKind kind = KeyKind::Unknown;
    JobId job;
};

ParsedKey parseKey(std::string_view key);

std::string encode(const StepJob &job);
std::string encode(const JobProgress &progress);
std::string encodeRoster(const std::vector<TargetId> &workers);
std::string encodeOwner(std::uint64_t fencingToken, std::string_view member);
std::string encodeResignation(const Resignation &resignation);

/** @throws Error naming the field when the record is malformed */
StepJob decodeJob(std::string_view value);
JobProgress decodeProgress(std::string_view key, std::string_view value);
std::vector<TargetId> decodeRoster(std::string_view value);
std::uint64_t decodeOwner(std::string_view value);
Resignation decodeResignation(std::string_view value);

} // namespace records

} // namespace bulrush

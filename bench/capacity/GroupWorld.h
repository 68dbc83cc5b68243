#pragma once

#include "SteadyWorker.h"

#include "bulrush_ownership/bulrush_ownership.h"
#include "bulrush_tasks/bulrush_tasks.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bulrush::bench {

/** What a group holds, and what else its owner sees. */
struct GroupSize
{
    std::size_t workers = 11;
    std::size_t tasksPerWorker = 30;
    std::int64_t runMs = 0; ///< mean run time of a task; 0 for tasks that never end
    std::size_t waitingJobs = 0; ///< jobs in the book that find no room
    std::size_t foreignRanges = 0; ///< task ranges that other groups hold
};

/** What a run cost. Times are processor time of the owner's node. */
struct GroupCosts
{
    double quietTickMicros = 0; ///< ticks that returned no action
    std::size_t quietTicks = 0;
    double busyTickMicros = 0;
    double codecMicros = 0; ///< requests encoded, answers decoded
    double judgeMicros = 0; ///< answers taken in
    double readMicros = 0; ///< the group's stream read
    std::size_t exchanges = 0;
    std::size_t requestBytes = 0;
    std::size_t answerBytes = 0;
    std::size_t compactRequestBytes = 0; ///< of the trial encoding
    std::size_t compactAnswerBytes = 0;
    std::size_t starts = 0;
    std::size_t groupAppends = 0;
    std::size_t groupBytes = 0;
    std::size_t workAppends = 0;
    std::size_t workBytes = 0;
    std::size_t groupReadBytes = 0; ///< the answers that bring the appends back, one each
    std::size_t workReadBytes = 0;
    std::size_t ownerHeapBytes = 0; ///< of the owner that was replaced

    double cpuMicros() const
    {
        return this->quietTickMicros + this->busyTickMicros + this->codecMicros + this->judgeMicros
                + this->readMicros;
    }
};

/** One group's owner with its log and workers; answers and log reads arrive a tick later. */
class GroupWorld
{
public:
    GroupWorld(const GroupSize &size, std::uint64_t seed);

    GroupWorld(const GroupWorld &) = delete;
    GroupWorld &operator=(const GroupWorld &) = delete;

    /** Runs until every worker is full. @throws Error when that takes too long */
    void fill();

    /** Lets the owner act for a while. @returns what that cost */
    GroupCosts run(Duration span);

    /** Replaces the owner by one of another node that has read nothing yet, and lets it take
        over until it has exchanged with every worker. @returns what that cost */
    GroupCosts takeOver();

    /** Returns how many tasks have a running attempt. */
    std::size_t runningTasks() const;

    const GroupOwner &owner() const { return *this->groupOwner; }

private:
    void makeOwner(const std::string &node);
    void addForeignRanges();
    void addJobs(std::size_t count);
    void dropFinishedJobs();
    void addWaitingJobs();
    void tick();
    void readLogs();
    void exchange(const ExchangeAction &action);
    void append(const AppendAction &action);
    bool isSettled() const;

    GroupSize size;
    Instant now { hours(1) };
    Durations durations;
    FirstFit placement;
    std::unique_ptr<GroupOwner> groupOwner;
    StreamFollower<GroupClaims> work;
    std::vector<std::string> workLog;
    std::vector<std::string> groupLog;
    JobBook jobs;
    std::map<JobId, std::uint32_t> openJobs;
    std::size_t jobCount = 0;
    std::map<VmId, SteadyWorker> workers;
    std::vector<ExchangeAnswer> answers;
    GroupCosts costs;
};

} // namespace bulrush::bench

#pragma once

#include "SimulatedWorker.h"

#include "bulrush_ownership/bulrush_ownership.h"
#include "bulrush_tasks/bulrush_tasks.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bulrush::bench {

/** The size of a group, and the jobs and ranges that its owner sees beside it. */
struct GroupSize
{
    std::size_t workers = 11;
    std::size_t tasksPerWorker = 30;
    std::int64_t runMs = 0; ///< mean run time of a task; 0 for tasks that do not end
    std::size_t waitingJobs = 0; ///< open jobs that wait for capacity
    std::size_t foreignRanges = 0; ///< task ranges that other groups hold
};

/** The costs of a simulation run. Times are processor time of the owner's node. */
struct GroupCosts
{
    double quietTickMicros = 0; ///< ticks that returned no action
    std::size_t quietTicks = 0;
    double busyTickMicros = 0;
    double codecMicros = 0; ///< encoding of requests, decoding of answers
    double answerHandlingMicros = 0; ///< handling of answers by the owner
    double readMicros = 0; ///< reading of the group's stream
    std::size_t exchanges = 0;
    std::size_t requestBytes = 0;
    std::size_t answerBytes = 0;
    std::size_t compactRequestBytes = 0; ///< with encodeCompact()
    std::size_t compactAnswerBytes = 0;
    std::size_t starts = 0;
    std::size_t groupAppends = 0;
    std::size_t groupBytes = 0;
    std::size_t workAppends = 0;
    std::size_t workBytes = 0;
    std::size_t groupReadBytes = 0; ///< read responses that return the appends, one per append
    std::size_t workReadBytes = 0;
    std::size_t ownerHeapBytes = 0; ///< of the replaced owner

    double cpuMicros() const
    {
        return this->quietTickMicros + this->busyTickMicros + this->codecMicros
                + this->answerHandlingMicros + this->readMicros;
    }
};

/** Simulates the owner of one group with its log and workers. Answers and log records arrive in
    the next tick. */
class GroupSimulation
{
public:
    GroupSimulation(const GroupSize &size, std::uint64_t seed);

    GroupSimulation(const GroupSimulation &) = delete;
    GroupSimulation &operator=(const GroupSimulation &) = delete;

    /** Runs until every worker has its number of tasks. @throws Error after 10 simulated minutes */
    void fill();

    /** Runs the owner for a duration. @returns the costs */
    GroupCosts run(Duration span);

    /** Replaces the owner by one on another node that has read no records. Runs it until it owns
        the group and has exchanged with every worker. @returns the costs
        @throws Error after 10 simulated minutes */
    GroupCosts takeOver();

    /** Returns how many tasks have a running attempt. */
    std::size_t runningTasks() const;

    const GroupOwner &owner() const { return *this->groupOwner; }

private:
    void createOwner(const std::string &node);
    void addForeignRanges();
    void addJobs(std::size_t count);
    void removeFinishedJobs();
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
    StreamFollower<GroupClaims> workFollower;
    std::vector<std::string> workLog;
    std::vector<std::string> groupLog;
    JobRegistry jobs;
    std::map<JobId, std::uint32_t> openJobs;
    std::size_t jobCount = 0;
    std::map<VmId, SimulatedWorker> workers;
    std::vector<ExchangeAnswer> answers;
    GroupCosts costs;
};

} // namespace bulrush::bench

#pragma once

#include "bulrush_core/time/Clock.h"
#include "bulrush_placement/queue/QuotaBook.h"
#include "bulrush_placement/view/TaskView.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>

namespace bulrush::placement {

/** A task that waits for its start. */
struct QueuedTask
{
    TaskView task;
    Instant queuedAt {};
    std::uint64_t sequence = 0; ///< order of arrival
};

/** Constants of the ready queue. */
struct QueueSettings
{
    Duration overdueAfter = minutes(10); ///< wait after which a task counts as overdue
    int urgentBurst = 7; ///< urgent tasks in a row before one overdue ordinary task goes first
};

/**
    The order in which tasks start: urgent ones first, then the team that uses the smallest part of
    its quota, then the task that waits longest. A team at its quota holds up no other team. Once in
    a while an overdue ordinary task goes before urgent ones, so that nothing starves.

    A pop looks at each team's first task only; its time does not grow with the backlog.
*/
class ReadyQueue
{
public:
    explicit ReadyQueue(const QueueSettings &settings = {})
        : settings(settings)
    {
    }

    /** Adds a task. @returns false when a task of that id waits already */
    bool push(const TaskView &task, Instant now);

    /** Takes out the task to start next, whose team's quota allows it. */
    std::optional<QueuedTask> pop(const QuotaBook &quotas, Instant now);

    /** Puts back a task for which no worker had room; it keeps its age.

        @param retryAt until then other tasks go first
    */
    void putBack(const QueuedTask &queued, Instant retryAt);

    /** Removes a task. @returns whether it was waiting */
    bool cancel(const JobId &job);

    /** Returns how many tasks wait, those that were put back included. */
    std::size_t size() const { return this->positions.size(); }

private:
    struct AgeKey
    {
        Instant queuedAt;
        std::uint64_t sequence;
        bool operator<(const AgeKey &other) const
        {
            return std::tie(this->queuedAt, this->sequence)
                    < std::tie(other.queuedAt, other.sequence);
        }
    };

    using TeamTasks = std::map<AgeKey, QueuedTask>;
    using Lane = std::unordered_map<TeamId, TeamTasks>;

    struct RetryKey
    {
        Instant retryAt;
        std::uint64_t sequence;
        bool operator<(const RetryKey &other) const
        {
            return std::tie(this->retryAt, this->sequence)
                    < std::tie(other.retryAt, other.sequence);
        }
    };

    /** Where a waiting task stands; retryAt is set while it is put back. */
    struct Position
    {
        Urgency urgency;
        TeamId team;
        AgeKey age;
        std::optional<RetryKey> retry;
    };

    struct Candidate
    {
        TeamTasks *tasks = nullptr;
        double dominantShare = 0;
        AgeKey age {};
        bool isOverdue = false;
    };

    Lane &lane(Urgency urgency) { return this->lanes[static_cast<std::size_t>(urgency)]; }
    void enqueue(const QueuedTask &queued);
    void enqueueDue(Instant now);
    Candidate bestCandidate(Lane &lane, const QuotaBook &quotas, Instant now);
    static bool precedes(const Candidate &left, const Candidate &right);
    QueuedTask remove(const Candidate &candidate);

    QueueSettings settings;
    std::array<Lane, 2> lanes;
    std::map<RetryKey, QueuedTask> deferred;
    std::unordered_map<JobId, Position> positions;
    std::uint64_t nextSequence = 0;
    int consecutiveUrgent = 0;
};

} // namespace bulrush::placement

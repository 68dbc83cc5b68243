#pragma once

#include "bulrush_core/time/Clock.h"
#include "bulrush_placement/queue/QuotaTable.h"
#include "bulrush_placement/view/TaskView.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>

namespace bulrush::placement {

/** A task that waits to be started. */
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
    int urgentBurst = 7; ///< consecutive urgent tasks before an overdue ordinary one is started
};

/**
    Orders tasks for starting: urgent tasks first, then by the smallest dominant share of the team,
    then by waiting time. A team at its quota does not block other teams. To prevent starvation, an
    overdue ordinary task is started ahead of urgent ones after a burst of urgent tasks.

    A pop examines only the first task of each team, so its time does not grow with the backlog.
*/
class ReadyQueue
{
public:
    explicit ReadyQueue(const QueueSettings &settings = {})
        : settings(settings)
    {
    }

    /** Adds a task. @returns false if a task of that job is already waiting */
    bool push(const TaskView &task, Instant now);

    /** Removes and returns the next task to start whose team's quota allows it. */
    std::optional<QueuedTask> pop(const QuotaTable &quotas, Instant now);

    /** Puts back a task for which no worker had room; it keeps its age.

        @param retryAt until then, pop() does not return the task
    */
    void defer(const QueuedTask &queued, Instant retryAt);

    /** Removes a waiting task. @returns whether it was waiting */
    bool cancel(const JobId &job);

    /** Returns the number of waiting tasks, including those that were put back. */
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

    /** The position of a waiting task; retry is set while the task is deferred. */
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
    Candidate bestCandidate(Lane &lane, const QuotaTable &quotas, Instant now);
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

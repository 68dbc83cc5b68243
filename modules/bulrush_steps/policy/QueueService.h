#pragma once

#include "bulrush_core/time/Clock.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace bulrush {

/** A job that ended, or that passed its late limit before it ended. */
struct ServedJob
{
    /** The number of tasks. */
    std::size_t size = 0;
    /** Time since the job was accepted. */
    Duration age {};
    /** The age up to which a finished job has its full value. */
    Duration objective {};

    bool inTime() const { return this->age <= this->objective; }

    /** Returns whether the job is within its late limit. @see lateLimitFactor */
    bool isServed() const;
};

/** How a number of jobs were served. */
struct ServiceCount
{
    std::size_t jobs = 0;
    /** Jobs that ended within their objective. */
    std::size_t inTime = 0;
    /** Jobs that ended within their late limit. */
    std::size_t served = 0;

    /** Returns the shares of all jobs, from 0 to 1; 1 without jobs. */
    double inTimeShare() const { return this->shareOf(this->inTime); }
    double servedShare() const { return this->shareOf(this->served); }

private:
    double shareOf(std::size_t part) const;
};

/** How a queue is served. */
enum class QueueState {
    /** Too few jobs ended to tell. */
    NotJudged,
    Served,
    Late,
    /** Served now, and late when it was last judged. */
    Recovered
};

/** How the jobs of a queue were served within the window. */
struct QueueReport
{
    std::string queue;
    QueueState state = QueueState::NotJudged;
    ServiceCount all;
    /** The jobs whose size is at or above the 90th percentile. */
    ServiceCount large;
    /** The number of tasks from which a job counts as large. */
    std::size_t largeSize = 0;
};

/**
    Judges for each queue whether its jobs end in time, over a sliding window.

    The large jobs are judged apart as well, because they are few and may all be late while the
    queue as a whole is served.
*/
class QueueService
{
public:
    /** Records a job that ended, or that passed its late limit; each job is to be recorded once.
        Ignores a job without an objective. */
    void record(const std::string &queue, const ServedJob &job, Instant now);

    /** Returns the reports of all queues with jobs in the window, and of those that were late when
        they were last judged. */
    std::vector<QueueReport> judge(Instant now);

    /** Discards all jobs. */
    void clear() { this->queues.clear(); }

private:
    struct Sample
    {
        ServedJob job;
        Instant recordedAt {};
    };

    struct Queue
    {
        /** The jobs in the window, oldest first. */
        std::deque<Sample> samples;
        /** Whether the queue was late when it was last judged. */
        bool late = false;
    };

    static QueueReport count(const Queue &queue);
    static QueueState nextState(const QueueReport &report, bool wasLate);

    std::map<std::string, Queue> queues;
};

} // namespace bulrush

#pragma once

#include "bulrush_tasks/model/Task.h"
#include "bulrush_tasks/workers/Exchange.h"

#include <map>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>

namespace bulrush::explorer {

/** A property that did not hold. */
class Fault : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/**
    Checks, from the workers' own books and the raw log alone, that no VM is over-committed, no
    task runs in two places, evicted work resumes from its last checkpoint, and a finished task
    stays finished. It shares no code with the modules under test but the ids.
*/
class Checker
{
public:
    /** Takes every record at the moment it takes effect in the log. */
    void appended(const std::string &stream, std::string_view payload);

    /** Takes what happens in a worker's books. */
    void started(const VmId &worker, const StartCommand &start);
    void ended(const VmId &worker, const InventoryItem &item);
    void forgot(const InventoryItem &item);

    /** Takes that a VM or a worker's process lost its books. */
    void booksLost(const VmId &worker);

    /** Checks a worker's commitment. */
    void committed(const VmId &worker, const Resources &used, const Resources &capacity) const;

    /** Returns how long ago the last sign of a task was, for tests: its recorded final ends. */
    std::size_t finishedCount() const { return this->finished.size(); }
    std::size_t finishedCount(const JobId &job) const;
    std::size_t startCount() const { return this->executed.size(); }
    std::size_t startCount(const JobId &job) const;

    /** Returns where a task runs; empty where it does not. */
    VmId placeOf(const TaskId &task) const;

private:
    struct Ended
    {
        VmId worker;
        InventoryItem item;
    };

    void recordedEnd(const AttemptId &attempt, Outcome outcome, const std::string &checkpoint);

    std::map<std::string, Epoch> fences;
    std::map<TaskId, VmId> running;
    std::map<AttemptId, Ended> books; ///< ended attempts that some worker still knows
    std::set<AttemptId> executed;
    std::set<AttemptId> recorded; ///< attempts whose end is in the log
    std::set<TaskId> finished; ///< tasks whose final end is in the log
    std::map<TaskId, std::int64_t> resumeAt; ///< the checkpoint of the last recorded eviction
};

} // namespace bulrush::explorer

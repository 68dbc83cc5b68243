#pragma once

#include "bulrush_tasks/model/Task.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace bulrush {

/** Holds the active jobs and the quotas of the teams, as operators' records declare them. */
class JobRegistry
{
public:
    /** Adds a job or replaces its declaration. */
    void add(const JobSpec &spec);

    /** Marks a job as cancelled; its running tasks are stopped and no more start. */
    void cancel(const JobId &job);

    /** Removes a job and its cancellation; does nothing for an unknown job. */
    void remove(const JobId &job);

    /** Sets the limit for the total need of a team's claimed tasks. */
    void setQuota(const TeamId &team, const Resources &quota);

    /** Returns a job's declaration, or null for an unknown job. */
    const JobSpec *find(const JobId &job) const;

    bool isCancelled(const JobId &job) const { return this->cancelled.contains(job); }

    /** Returns a team's quota, or null if it has none. */
    const Resources *quotaOf(const TeamId &team) const;

    /** Returns all jobs, urgent ones before the others, each kind in the order of addition. */
    std::vector<const JobSpec *> inOrder() const;

    /** Passes the jobs to the visitor, in the order of inOrder(), until it returns false.
        @param urgentOnly whether to leave out jobs that are not urgent */
    void visit(bool urgentOnly, const std::function<bool(const JobSpec &)> &visitor) const;

private:
    struct Entry
    {
        JobSpec spec;
        std::uint64_t order = 0;
    };

    std::map<JobId, Entry> jobs;
    std::map<std::pair<bool, std::uint64_t>, const JobSpec *> queue; ///< by (not urgent, order)
    std::set<JobId> cancelled;
    std::map<TeamId, Resources> quotas;
    std::uint64_t nextOrder = 0;
};

} // namespace bulrush

#pragma once

#include "bulrush_tasks/bulrush_tasks.h"

#include <memory>
#include <string>
#include <vector>

namespace bulrush {

/** All worker groups of a system of the target size, before one node takes all of them over. */
class Fleet
{
public:
    static constexpr std::uint32_t groupCount = 173;
    static constexpr std::uint32_t workersPerGroup = 11;
    static constexpr std::uint32_t tasksPerGroup = 336;
    static constexpr std::uint32_t backlogJobs = 30'000;

    /** Prepares log records and workers' answers, outside the measured time. */
    Fleet();

    /** Reads the streams of all groups and takes over the groups. */
    void takeOver();

    /** Decodes the first answer of every worker from JSON and passes it to the group's owner. */
    void applyInventories();

    /** Ticks every owner once. @returns the number of actions that they returned */
    std::size_t tick(Duration step);

    /** Returns the number of owners that own their group and know the state of all its workers. */
    std::size_t ownedCount() const;

    /** Returns the total size of all groups' snapshots in bytes. */
    std::size_t snapshotBytes() const;

private:
    struct Group
    {
        GroupId id;
        std::string snapshot;
        std::vector<std::string> answers;
        std::unique_ptr<GroupOwner> owner;
    };

    void prepare(Group &group);
    std::string makeAnswer(const Group &group, std::uint32_t worker) const;
    void apply(const std::vector<Action> &actions);
    WorkView view() const;

    Instant now { hours(1) };
    FirstFit placement;
    Durations durations;
    JobRegistry jobs;
    StreamFollower<GroupClaims> work;
    std::vector<Group> groups;
};

} // namespace bulrush

#pragma once

#include "bulrush_tasks/bulrush_tasks.h"

#include <memory>
#include <string>
#include <vector>

namespace bulrush {

/** All worker groups at the target's size, as a node finds them when it takes over every one. */
class Fleet
{
public:
    static constexpr std::uint32_t groupCount = 173;
    static constexpr std::uint32_t workersPerGroup = 11;
    static constexpr std::uint32_t tasksPerGroup = 336;
    static constexpr std::uint32_t backlogJobs = 30'000;

    /** Prepares log records and workers' answers; nothing of this is part of the measurement. */
    Fleet();

    /** Reads all groups' streams and takes the groups over. */
    void takeOver();

    /** Takes every worker's first answer, from its JSON text. */
    void takeInventories();

    /** Lets all owners tick once. @returns how many actions they returned */
    std::size_t tick(Duration step);

    /** Returns how many owners own their group and know all their workers. */
    std::size_t ownedCount() const;

    /** Returns the bytes of the groups' snapshots. */
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
    std::string answerOf(const Group &group, std::uint32_t worker) const;
    void apply(const std::vector<Action> &actions);
    WorkView view() const;

    Instant now { hours(1) };
    FirstFit placement;
    Durations durations;
    JobBook jobs;
    StreamFollower<GroupClaims> work;
    std::vector<Group> groups;
};

} // namespace bulrush

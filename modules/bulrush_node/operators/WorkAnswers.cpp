#include "bulrush_node/operators/WorkAnswers.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace bulrush {

namespace {

using nlohmann::json;

/** Indexed by GroupOwner::Phase. */
constexpr std::array<std::string_view, 4> phaseNames { "idle", "claiming", "fencing", "owning" };

/** Indexed by Outcome. */
constexpr std::array<std::string_view, 8> outcomeNames {
    "finished", "failed", "evicted", "never started", "lapsed", "lost", "cancelled", "abandoned",
};

json resourcesJson(const Resources &amount)
{
    return { { "cpuMilli", amount.cpuMilli },
             { "memoryMb", amount.memoryMb },
             { "accelerators", amount.accelerators } };
}

json workersJson(const GroupOwner &owner)
{
    json workers = json::array();
    for (const auto &[id, worker] : owner.workers()) {
        workers.push_back({ { "worker", id.name() },
                            { "inventoryKnown", worker.ledger.isKnown() },
                            { "leaving", worker.isLeaving() },
                            { "attempts", worker.ledger.attempts().size() },
                            { "committed", resourcesJson(worker.ledger.committed()) },
                            { "capacity", resourcesJson(worker.ledger.capacity()) } });
    }
    return workers;
}

/** Returns what a task waits for, as text for operators. */
std::string waitingFor(const TaskState &task)
{
    if (task.final) {
        return "nothing; it is over";
    }
    if (task.open) {
        return "the end of the attempt";
    }
    return "a worker with room";
}

json taskJson(const TaskState &task, const NodeId &owner)
{
    return { { "attempt", task.lastAttempt },
             { "running", task.open },
             { "over", task.final },
             { "lastOutcome",
               task.open ? json() : json(outcomeNames.at(static_cast<std::size_t>(task.outcome))) },
             { "worker", task.worker.name() },
             { "checkpoint", task.checkpoint },
             { "owner", owner.name() },
             { "waitsFor", waitingFor(task) } };
}

json holdersJson(const GroupManager &manager, const JobSpec &spec)
{
    std::map<std::string, std::uint32_t> counts;
    for (std::uint32_t index = 0; index < spec.taskCount; ++index) {
        const auto holder = manager.claims().holderOf(spec.job, index);
        ++counts[holder ? holder->name() : ""];
    }
    json holders = json::array();
    for (const auto &[group, count] : counts) {
        const NodeId owner = manager.claims().ownershipOf(GroupId(group)).node;
        holders.push_back({ { "group", group.empty() ? "(none yet)" : group },
                            { "tasks", count },
                            { "owner", owner.name() } });
    }
    return holders;
}

HttpResponse explainJob(const GroupManager &manager, const RecordState &records,
                        const std::string &name)
{
    const std::optional<JobId> run = runOf(records, name);
    const JobSpec *spec = run ? manager.jobRegistry().find(*run) : nullptr;
    if (spec == nullptr) {
        const bool known =
                !records.headId("job", name).empty() || !records.headId("watcher", name).empty();
        return OperatorsApi::error(404,
                                   known ? "the job has ended, or runs in another data centre"
                                         : "no job or watcher has this name");
    }
    const bool complete = manager.claims().isComplete(spec->job, spec->taskCount);
    const json answer = { { "job", name },
                          { "team", spec->team.name() },
                          { "kind", nameOf(spec->kind) },
                          { "tasks", spec->taskCount },
                          { "need", resourcesJson(spec->need) },
                          { "urgent", spec->urgent },
                          { "cancelled", manager.jobRegistry().isCancelled(spec->job) },
                          { "complete", complete },
                          { "heldBy", holdersJson(manager, *spec) } };
    return OperatorsApi::json(200, answer.dump(2));
}

HttpResponse explainTask(const GroupManager &manager, const RecordState &records,
                         const std::string &text)
{
    std::optional<TaskId> task = TaskId::parse(text);
    if (!task) {
        return OperatorsApi::error(400, "found '" + text + "', expected NAME#NUMBER");
    }
    const std::optional<JobId> run = runOf(records, task->job.name());
    if (!run) {
        return OperatorsApi::error(404, "no job or watcher has this name");
    }
    task->job = *run;
    const auto group = manager.claims().holderOf(task->job, task->index);
    if (!group) {
        return OperatorsApi::json(200,
                                  json({ { "task", text },
                                         { "group", json() },
                                         { "waitsFor", "a worker group with room" } })
                                          .dump(2));
    }
    const NodeId owner = manager.claims().ownershipOf(*group).node;
    json answer = { { "task", text }, { "group", group->name() }, { "owner", owner.name() } };
    const auto runner = manager.groups().find(*group);
    const TaskState *state = runner == manager.groups().end()
            ? nullptr
            : runner->second->owner().state().find(*task);
    if (state != nullptr) {
        answer.update(taskJson(*state, owner));
    } else {
        answer["waitsFor"] = "ask node " + owner.name() + ", which owns the group";
    }
    return OperatorsApi::json(200, answer.dump(2));
}

} // namespace

std::string groupsJson(const GroupManager &manager)
{
    json groups = json::array();
    for (const auto &[id, runner] : manager.groups()) {
        const GroupOwner &owner = runner->owner();
        const GroupOwnership ownership = manager.claims().ownershipOf(id);
        groups.push_back({ { "group", id.name() },
                           { "owner", ownership.node.name() },
                           { "epoch", ownership.epoch },
                           { "here", phaseNames.at(static_cast<std::size_t>(owner.phase())) },
                           { "workers", workersJson(owner) } });
    }
    return groups.dump();
}

HttpResponse explainAnswer(const GroupManager &manager, const RecordState &records,
                           const std::vector<std::string> &rest)
{
    if (rest.size() == 2 && rest[0] == "job") {
        return explainJob(manager, records, rest[1]);
    }
    if (rest.size() == 2 && rest[0] == "task") {
        return explainTask(manager, records, rest[1]);
    }
    if (rest.size() == 3 && rest[0] == "task") {
        return explainTask(manager, records, rest[1] + '#' + rest[2]);
    }
    return OperatorsApi::error(400, "expected /explain/job/NAME or /explain/task/NAME/NUMBER");
}

} // namespace bulrush

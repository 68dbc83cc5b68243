#include "PlacementWorld.h"

#include <array>

using namespace bulrush;
using namespace bulrush::placement;

namespace {

constexpr std::array<std::string_view, 4> actionNames { "throttle", "move", "evict", "restore" };

Resources resourcesOf(const scenario::Step &step)
{
    return { step.numberOption("cpu", 0), step.numberOption("memory", 0),
             step.numberOption("accelerators", 0) };
}

} // namespace

void PlacementWorld::bind(scenario::Interpreter &interpreter)
{
    using Handler = void (PlacementWorld::*)(const Step &);
    struct Verb
    {
        std::string_view name;
        Handler handler;
    };
    static constexpr std::array verbs {
        Verb { "worker", &PlacementWorld::addWorker },
        Verb { "commit", &PlacementWorld::commit },
        Verb { "release", &PlacementWorld::release },
        Verb { "mark", &PlacementWorld::mark },
        Verb { "reserve", &PlacementWorld::reserve },
        Verb { "feasible", &PlacementWorld::checkFeasible },
        Verb { "quota", &PlacementWorld::setQuota },
        Verb { "submit", &PlacementWorld::submit },
        Verb { "start", &PlacementWorld::start },
        Verb { "end", &PlacementWorld::end },
        Verb { "outcome", &PlacementWorld::recordOutcome },
        Verb { "evidence", &PlacementWorld::checkEvidence },
        Verb { "pressure", &PlacementWorld::checkLadder },
        Verb { "place", &PlacementWorld::place },
    };
    for (const Verb &verb : verbs) {
        interpreter.bind(verb.name, [this, handler = verb.handler](const Step &step) {
            (this->*handler)(step);
        });
    }
    interpreter.bind("advance", [this](const Step &step) { this->now += step.duration(0); });
    interpreter.bind("cancel", [this](const Step &step) {
        const bool wasWaiting = this->queue.cancel(JobId(step.argument(0)));
        step.require(wasWaiting, "the task was not waiting");
    });
}

void PlacementWorld::addWorker(const Step &step)
{
    WorkerView worker;
    worker.id = VmId(step.argument(0));
    worker.rack = step.option("rack", "rack-1");
    worker.dataCentre = DataCentreId(step.option("dc", "dc-1"));
    worker.capacity = resourcesOf(step);
    this->capacities[step.argument(0)] = worker.capacity;
    this->table.add(worker);
}

void PlacementWorld::commit(const Step &step)
{
    const TaskView task = this->taskOf(step);
    const std::string worker = step.option("on", "");
    const auto outcome = this->table.commit(this->slotOf(step, worker), task, this->usage);
    if (outcome == CommitOutcome::Committed) {
        this->commitments[task.job.name()] = { worker, task };
    }
    const std::string seen(commitOutcomeName(outcome));
    step.require(seen == step.option("expect", "committed"), "the result was " + seen);
    this->requireNoOverCommitment(step);
}

void PlacementWorld::release(const Step &step)
{
    const auto commitment = this->commitments.find(step.argument(0));
    step.require(commitment != this->commitments.end(), "the job has no commitment");
    const WorkerSlot slot = this->slotOf(step, commitment->second.worker);
    this->table.release(slot, commitment->second.task, this->usage);
    this->commitments.erase(commitment);
}

void PlacementWorld::mark(const Step &step)
{
    const WorkerSlot slot = this->slotOf(step, step.argument(0));
    const std::string &state = step.argument(1);
    step.require(state == "leaving" || state == "aside", "unknown state");
    if (state == "leaving") {
        this->table.setLeaving(slot, true);
    } else {
        this->table.setAside(slot, true);
    }
}

void PlacementWorld::reserve(const Step &step)
{
    const auto slot = reserveWorker(this->taskOf(step), this->table, 1);
    const std::string seen = slot ? this->table.worker(*slot).id.name() : "none";
    step.require(seen == step.option("expect", ""), "the reserved worker is " + seen);
}

void PlacementWorld::checkFeasible(const Step &step)
{
    const TaskView task = this->taskOf(step);
    const auto shortfall =
            checkFeasibility(task, this->table.workers(), this->quotas.quota(task.team));
    const std::string seen = shortfall ? shortfall->text : "yes";
    step.require(seen == step.option("expect", "yes"), "the check returned: " + seen);
}

void PlacementWorld::setQuota(const Step &step)
{
    this->quotas.setQuota(TeamId(step.argument(0)), resourcesOf(step));
}

void PlacementWorld::submit(const Step &step)
{
    const std::int64_t count = step.numberOption("count", 1);
    TaskView task = this->taskOf(step);
    const std::string name = task.job.name();
    for (std::int64_t index = 0; index < count; ++index) {
        task.job = JobId(count == 1 ? name : name + "-" + std::to_string(index));
        step.require(this->queue.push(task, this->now), "the task is already waiting");
    }
}

void PlacementWorld::start(const Step &step)
{
    const auto queued = this->queue.pop(this->quotas, this->now);
    const std::string seen = queued ? queued->task.job.name() : "none";
    const std::string expected = step.option("expect", seen);
    step.require(seen.starts_with(expected), "the started task is " + seen);
    if (queued) {
        step.require(this->quotas.acquire(queued->task.team, queued->task.declared),
                     "the team exceeds its quota");
        this->started[seen] = queued->task;
    }
}

void PlacementWorld::end(const Step &step)
{
    const TaskView task = this->started.at(step.argument(0));
    this->quotas.release(task.team, task.declared);
    this->started.erase(step.argument(0));
}

void PlacementWorld::recordOutcome(const Step &step)
{
    const bool succeeded = step.argument(2) == "succeeded";
    this->evidence.record(VmId(step.argument(1)), JobId(step.argument(0)), succeeded, this->now);
}

void PlacementWorld::checkEvidence(const Step &step)
{
    const std::string &name = step.argument(1);
    const bool isBad = step.argument(0) == "worker"
            ? this->evidence.isWorkerFaulty(VmId(name), this->now)
            : this->evidence.isTaskFaulty(JobId(name), this->now);
    const std::string seen = isBad ? "bad" : "sound";
    step.require(seen == step.argument(2), name + " is considered " + seen);
}

void PlacementWorld::checkLadder(const Step &step)
{
    const interference::WorkerPressure pressure {
        VmId(step.argument(0)), ServiceId("service"),
        static_cast<double>(step.numberOption("percent", 100)) / 100,
        this->now - step.durationOption("lag", seconds(0))
    };
    const std::array tasks {
        interference::LadderTask { JobId("job"), BatchClassId("class"), 0.3, false, false },
        interference::LadderTask { JobId("urgent"), BatchClassId("class"), 0.6, true, false },
    };
    const auto actions = this->ladder.decide(pressure, tasks, this->pairs, this->now);
    std::string seen = "nothing";
    if (!actions.empty()) {
        const auto index = static_cast<std::size_t>(actions.front().kind);
        seen = std::string(actionNames[index]) + " " + actions.front().job.name();
    }
    step.require(seen == step.option("expect", ""), "the ladder decided on " + seen);
}

void PlacementWorld::place(const Step &step)
{
    const PlacementPolicy policy(Strategy::Learned, {}, {});
    const auto slot = policy.choose(this->taskOf(step), this->table, this->usage, this->pairs,
                                    this->now, this->random);
    const std::string seen = slot ? this->table.worker(*slot).id.name() : "none";
    step.require(seen == step.option("expect", ""), "the policy chose " + seen);
}

void PlacementWorld::requireNoOverCommitment(const Step &step) const
{
    std::map<std::string, Resources> sums;
    for (const auto &[job, commitment] : this->commitments) {
        sums[commitment.worker] += commitment.task.declared;
    }
    for (const auto &[worker, sum] : sums) {
        step.require(sum.fitsIn(this->capacities.at(worker)), worker + " is over-committed");
    }
}

TaskView PlacementWorld::taskOf(const Step &step) const
{
    TaskView task;
    task.job = JobId(step.argument(0));
    task.declared = resourcesOf(step);
    task.team = TeamId(step.option("team", "team"));
    task.batchClass = BatchClassId(step.option("class", "class"));
    task.urgency = step.has("urgent") ? Urgency::Urgent : Urgency::Ordinary;
    task.dataCentre = DataCentreId(step.option("dc", ""));
    task.maxPerWorker = static_cast<int>(step.numberOption("most", 0));
    if (step.has("service")) {
        task.kind = TaskKind::Service;
        task.service = ServiceId(step.option("service", ""));
    }
    return task;
}

WorkerSlot PlacementWorld::slotOf(const Step &step, const std::string &name) const
{
    const auto slot = this->table.find(VmId(name));
    step.require(slot.has_value(), "unknown worker " + name);
    return *slot;
}

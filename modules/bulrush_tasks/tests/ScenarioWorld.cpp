#include "ScenarioWorld.h"

#include <algorithm>

namespace bulrush::explorer {

using scenario::Step;

namespace {

constexpr Duration sampleInterval = milliseconds(200);

/** Parses a task. Scripts write job/index, because '#' starts a comment. */
TaskId parseTask(const Step &step, std::size_t index)
{
    std::string text = step.argument(index);
    std::replace(text.begin(), text.end(), '/', '#');
    const auto task = TaskId::parse(text);
    step.require(task.has_value(), "not a task of the form job/index: " + text);
    return *task;
}

std::string millisecondsText(Duration span)
{
    return std::to_string(duration_cast<milliseconds>(span).count()) + " ms";
}

Resources parseResources(const Step &step)
{
    return { step.numberOption("cpu", 0), step.numberOption("memory", 0),
             step.numberOption("accelerators", 0) };
}

} // namespace

ScenarioWorld::ScenarioWorld(const std::string &disabledGuard)
{
    for (const Mutation &mutation : mutations()) {
        if (mutation.name == disabledGuard) {
            const Trial trial = mutatedTrial(mutation);
            this->options.guards = trial.guards;
            this->options.workerGuards = trial.workerGuards;
        }
    }
    this->options.durations = shortDurations();
    this->bindSetUp();
    this->bindFaults();
    this->bindWorkerFaults();
    this->bindExpectations();
    this->bindMeasurements();
}

void ScenarioWorld::runFile(const std::string &path)
{
    this->interpreter.runFile(path);
}

World &ScenarioWorld::world()
{
    if (!this->instance) {
        this->instance = std::make_unique<World>(this->options);
    }
    return *this->instance;
}

void ScenarioWorld::run(Duration span)
{
    const Instant end = this->world().time() + span;
    while (this->world().time() < end) {
        this->world().run(sampleInterval);
        for (auto &[task, gap] : this->gaps) {
            const bool runs = !this->world().checker().workerRunning(task).isEmpty();
            gap.started = gap.started || runs;
            gap.current = runs || !gap.started ? Duration::zero() : gap.current + sampleInterval;
            gap.longest = std::max(gap.longest, gap.current);
        }
    }
}

void ScenarioWorld::waitFor(const Step &step, const std::function<bool()> &condition)
{
    const Instant start = this->world().time();
    const Duration timeout = step.durationOption("within", seconds(0));
    while (!condition() && this->world().time() - start < timeout) {
        this->run(sampleInterval);
    }
    step.require(condition(), "the condition was not met in time");
    this->measurements.push_back(step.location() + ' ' + step.verb() + ": after "
                                 + millisecondsText(this->world().time() - start));
}

void ScenarioWorld::addWorker(const Step &step)
{
    const VmId id =
            this->world().addWorker(GroupId(step.option("group", "g1")), parseResources(step));
    step.require(id.name() == step.argument(0),
                 "workers must be named in order; expected " + id.name());
}

void ScenarioWorld::addJob(const Step &step)
{
    JobSpec spec;
    spec.job = JobId(step.argument(0));
    spec.team = TeamId(step.option("team", "team"));
    spec.kind = taskKind(step.option("kind", "batch"));
    spec.taskCount = static_cast<std::uint32_t>(step.numberOption("tasks", 1));
    spec.need = parseResources(step);
    spec.runMs = duration_cast<milliseconds>(step.durationOption("runs", seconds(1))).count();
    spec.urgent = step.has("urgent");
    this->world().addJob(spec);
}

void ScenarioWorld::bindSetUp()
{
    this->interpreter.bind(
            "guard", [this](const Step &step) { this->namedGuards.push_back(step.argument(0)); });
    this->interpreter.bind("durations", [this](const Step &step) {
        step.require(step.argument(0) == "default", "only 'default' is supported");
        this->options.durations = {};
    });
    this->interpreter.bind("return-after", [this](const Step &step) {
        this->options.durations.returnAfter = step.duration(0);
    });
    this->interpreter.bind("transit", [this](const Step &step) {
        this->options.durations.transit = step.duration(0);
    });
    this->interpreter.bind("worker", [this](const Step &step) { this->addWorker(step); });
    this->interpreter.bind("job", [this](const Step &step) { this->addJob(step); });
    this->interpreter.bind("backlog", [this](const Step &step) {
        for (std::int64_t index = 0; index < step.number(1); ++index) {
            this->world().addJob(
                    { JobId(step.argument(0) + '-' + std::to_string(index)),
                      TeamId(step.option("team", "team")), TaskKind::Batch, 1, parseResources(step),
                      duration_cast<milliseconds>(step.durationOption("runs", seconds(1))).count(),
                      false });
        }
    });
    this->interpreter.bind("quota", [this](const Step &step) {
        this->world().setQuota(TeamId(step.argument(0)), parseResources(step));
    });
    this->interpreter.bind("take", [this](const Step &step) {
        this->world().assign(GroupId(step.argument(1)), NodeId(step.argument(0)));
    });
    this->interpreter.bind("run", [this](const Step &step) { this->run(step.duration(0)); });
}

void ScenarioWorld::bindFaults()
{
    this->interpreter.bind("kill-node", [this](const Step &step) {
        this->world().killNode(NodeId(step.argument(0)));
    });
    this->interpreter.bind("restart-node", [this](const Step &step) {
        this->world().restartNode(NodeId(step.argument(0)));
    });
    this->interpreter.bind("pause-node", [this](const Step &step) {
        this->world().pauseNode(NodeId(step.argument(0)), step.duration(1));
    });
    this->interpreter.bind("hold-messages", [this](const Step &step) {
        this->world().holdMessages(NodeId(step.argument(0)), true);
    });
    this->interpreter.bind("deliver-held", [this](const Step &step) {
        this->world().holdMessages(NodeId(step.argument(0)), false);
    });
    this->interpreter.bind("log", [this](const Step &step) {
        this->world().setLogDown(step.argument(0) == "down");
    });
    this->interpreter.bind("cut", [this](const Step &step) {
        this->world().setPartitioned(step.argument(0) == "on");
    });
    this->interpreter.bind("renewers", [this](const Step &step) {
        this->world().setRenewing(step.argument(0) == "on");
    });
    this->interpreter.bind(
            "list-lag", [this](const Step &step) { this->world().setListLag(step.duration(0)); });
    this->interpreter.bind("evict",
                           [this](const Step &step) { this->world().evict(parseTask(step, 0)); });
    this->interpreter.bind("cancel", [this](const Step &step) {
        this->world().cancelJob(JobId(step.argument(0)));
    });
    this->interpreter.bind("messages", [this](const Step &step) {
        const auto perMille = [&step](std::string_view key) {
            return static_cast<std::uint64_t>(step.numberOption(key, 0));
        };
        this->world().setMessageFaults(
                { perMille("lost"), perMille("answers-lost"), perMille("doubled"), perMille("slow"),
                  perMille("answers-slow"), perMille("appends-lost"), perMille("appends-late"),
                  perMille("appends-doubled"), perMille("reads-slow") });
    });
}

void ScenarioWorld::bindWorkerFaults()
{
    this->interpreter.bind("kill-worker", [this](const Step &step) {
        this->world().killWorker(VmId(step.argument(0)));
    });
    this->interpreter.bind("restart-worker", [this](const Step &step) {
        this->world().restartWorker(VmId(step.argument(0)));
    });
    this->interpreter.bind("leaving", [this](const Step &step) {
        this->world().setWorkerLeaving(VmId(step.argument(0)));
    });
    this->interpreter.bind("silent", [this](const Step &step) {
        this->world().setSilent(VmId(step.argument(0)), true);
    });
    this->interpreter.bind("heard", [this](const Step &step) {
        this->world().setSilent(VmId(step.argument(0)), false);
    });
    this->interpreter.bind("unlisted", [this](const Step &step) {
        this->world().setUnlisted(VmId(step.argument(0)), true);
    });
    this->interpreter.bind("listed", [this](const Step &step) {
        this->world().setUnlisted(VmId(step.argument(0)), false);
    });
    this->interpreter.bind("break-link", [this](const Step &step) {
        this->world().setLinkBroken(NodeId(step.argument(0)), VmId(step.argument(1)), true);
    });
    this->interpreter.bind("mend-link", [this](const Step &step) {
        this->world().setLinkBroken(NodeId(step.argument(0)), VmId(step.argument(1)), false);
    });
    this->interpreter.bind("fails-everything", [this](const Step &step) {
        this->world().worker(VmId(step.argument(0))).setFailing(true);
    });
    this->interpreter.bind("fails-everywhere", [this](const Step &step) {
        for (const VmId &worker : this->world().liveWorkers()) {
            this->world().worker(worker).failJob(JobId(step.argument(0)));
        }
    });
}

void ScenarioWorld::bindExpectations()
{
    this->interpreter.bind("expect-finished", [this](const Step &step) {
        const JobId job(step.argument(0));
        const auto count = static_cast<std::size_t>(step.number(1));
        this->waitFor(step, [this, job, count] {
            return this->world().checker().finishedCount(job) == count;
        });
    });
    this->interpreter.bind("expect-starts", [this](const Step &step) {
        const JobId job(step.argument(0));
        const auto count = static_cast<std::size_t>(step.number(1));
        this->waitFor(step, [this, job, count] {
            return this->world().checker().startCount(job) == count;
        });
    });
    this->interpreter.bind("expect-running", [this](const Step &step) {
        const TaskId task = parseTask(step, 0);
        const VmId worker(step.argument(1) == "nowhere" ? "" : step.argument(1));
        const bool anywhere = step.argument(1) == "anywhere";
        this->waitFor(step, [this, task, worker, anywhere] {
            const VmId at = this->world().checker().workerRunning(task);
            return anywhere ? !at.isEmpty() : at == worker;
        });
    });
    this->interpreter.bind("expect-load", [this](const Step &step) {
        const VmId worker(step.argument(0));
        const auto count = static_cast<std::size_t>(step.number(1));
        this->waitFor(step, [this, worker, count] {
            return this->world().worker(worker).runningCount() == count;
        });
    });
    this->interpreter.bind("expect-owner", [this](const Step &step) {
        const NodeId owner(step.argument(1) == "none" ? "" : step.argument(1));
        const GroupId group(step.argument(0));
        this->waitFor(step, [this, group, owner] { return this->world().ownerOf(group) == owner; });
    });
    this->interpreter.bind("expect-all-finished", [this](const Step &step) {
        this->waitFor(step, [this] { return this->world().areAllJobsFinished(); });
    });
}

void ScenarioWorld::bindMeasurements()
{
    this->interpreter.bind("track",
                           [this](const Step &step) { this->gaps[parseTask(step, 0)] = {}; });
    this->interpreter.bind("expect-gap", [this](const Step &step) {
        const Gap &gap = this->gaps[parseTask(step, 0)];
        step.require(gap.started, "the task never ran");
        this->measurements.push_back(step.location() + " longest gap of " + step.argument(0) + ": "
                                     + millisecondsText(gap.longest));
        step.require(gap.longest <= step.durationOption("most", seconds(0)),
                     "the gap was " + millisecondsText(gap.longest));
    });
    this->interpreter.bind("expect-event", [this](const Step &step) {
        const auto event = static_cast<Event>(step.number(0));
        step.require(this->world().eventCount(event) > 0, "the event was not logged");
        const std::string text = step.option("detail", "");
        const std::string detail = this->world().lastDetail(event);
        step.require(detail.find(text) != std::string::npos,
                     "the detail does not contain the expected text; it is: " + detail);
    });
}

} // namespace bulrush::explorer

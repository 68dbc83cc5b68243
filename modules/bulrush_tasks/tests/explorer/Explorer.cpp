#include "Explorer.h"

#include <array>

namespace bulrush::explorer {

namespace {

constexpr Duration faultPhase = seconds(45);
constexpr Duration longFaultPhase = seconds(110); ///< longer than the log's retention
constexpr Duration recoveryPhase = seconds(200);
constexpr Duration roundLength = milliseconds(800);
constexpr Resources vmCapacity { 4000, 4000, 1 };
constexpr std::size_t maxDescribedLines = 70;

/** A kind of injected fault. Each can be disabled when a finding is reduced. */
struct InjectedFault
{
    std::string_view name;
    std::uint64_t perMille; ///< per round; a seed uses 0, 1 or 2 times this probability
    void (*inject)(World &world);
};

NodeId randomNode(World &world)
{
    const std::vector<NodeId> ids = world.nodeIds();
    return ids[world.random(ids.size())];
}

VmId randomWorker(World &world)
{
    const std::vector<VmId> live = world.liveWorkers();
    return live[world.random(live.size())];
}

GroupId randomGroup(World &world)
{
    return world.groupIds()[world.random(world.groupIds().size())];
}

TaskId randomTask(World &world)
{
    return { JobId(world.chance(500) ? "batch" : "watch"),
             static_cast<std::uint32_t>(world.random(5)) };
}

void replaceVm(World &world)
{
    if (world.liveWorkers().size() > 2) {
        world.killWorker(randomWorker(world));
    }
    world.addWorker(randomGroup(world), vmCapacity);
}

void replaceNode(World &world)
{
    const NodeId node = randomNode(world);
    if (world.node(node).alive && world.chance(600)) {
        world.killNode(node);
    } else {
        world.restartNode(node);
    }
}

// Draws for one call are made in statements of their own, since the order in which arguments are
// evaluated differs between processors. So a seed plays the same schedule on each.

void takeOver(World &world)
{
    const NodeId node = randomNode(world);
    world.assign(randomGroup(world), node);
}

void pauseNode(World &world)
{
    const Duration span = milliseconds(500 + world.random(30'000));
    world.pauseNode(randomNode(world), span);
}

void changeReachability(World &world)
{
    const bool silent = world.chance(700);
    world.setSilent(randomWorker(world), silent);
}

void changeLink(World &world)
{
    const bool broken = world.chance(700);
    const VmId worker = randomWorker(world);
    world.setLinkBroken(randomNode(world), worker, broken);
}

const std::array injectedFaults {
    InjectedFault { "takeover", 350, takeOver },
    InjectedFault { "node replaced", 60, replaceNode },
    InjectedFault { "node paused", 80, pauseNode },
    InjectedFault { "VM replaced", 30, replaceVm },
    InjectedFault { "worker restarted", 40,
                    [](World &world) { world.restartWorker(randomWorker(world)); } },
    InjectedFault { "worker unreachable", 50, changeReachability },
    InjectedFault { "broken links", 80, changeLink },
    InjectedFault { "VM leaving", 10,
                    [](World &world) { world.setWorkerLeaving(randomWorker(world)); } },
    InjectedFault { "eviction", 150, [](World &world) { world.evict(randomTask(world)); } },
    InjectedFault { "log outage", 60, [](World &world) { world.setLogDown(world.chance(600)); } },
    InjectedFault { "cut", 50, [](World &world) { world.setPartitioned(world.chance(600)); } },
    InjectedFault { "renewers", 80, [](World &world) { world.setRenewing(world.chance(600)); } },
};

/** Draws the probability of each kind of message fault; each seed has its own mix. */
MessageFaults drawMessageFaults(World &world, std::uint64_t disabledFaults)
{
    std::uint64_t bit = injectedFaults.size();
    const auto level = [&world, &bit, disabledFaults](std::uint64_t max) {
        const std::uint64_t drawn = world.random(3) == 0 ? 0 : world.random(max);
        return (disabledFaults >> bit++ & 1) != 0 ? 0 : drawn;
    };
    MessageFaults faults;
    faults.lostRequest = level(200);
    faults.lostAnswer = level(200);
    faults.duplicatedRequest = level(250);
    faults.delayedRequest = level(250);
    faults.delayedAnswer = level(150);
    faults.lostAppend = level(200);
    faults.delayedAppend = level(250);
    faults.duplicatedAppend = level(300);
    faults.delayedRead = level(150);
    return faults;
}

constexpr std::array<std::string_view, 9> messageFaultNames {
    "lost requests",    "lost answers",       "duplicated requests",
    "delayed requests", "delayed answers",    "lost appends",
    "delayed appends",  "duplicated appends", "delayed log reads",
};

constexpr std::size_t faultKindCount = injectedFaults.size() + messageFaultNames.size();

void setUp(World &world)
{
    for (const GroupId &group : world.groupIds()) {
        world.addWorker(group, vmCapacity);
        world.addWorker(group, vmCapacity);
        world.assign(group, randomNode(world));
    }
    const std::int64_t runMs = world.chance(500) ? 7000 : 30'000;
    world.addJob(
            { JobId("batch"), TeamId("t"), TaskKind::Batch, 5, { 1500, 1000, 0 }, runMs, false });
    world.addJob({ JobId("watch"), TeamId("t"), TaskKind::Watcher, 4, { 500, 500, 0 }, 0, true });
    world.addJob({ JobId("accel"), TeamId("u"), TaskKind::Batch, 3, { 500, 500, 1 }, 3000, false });
}

/** Assigns an owner to each group whose ownership no live node requests. */
void ensureOwners(World &world)
{
    for (const GroupId &group : world.groupIds()) {
        bool wanted = false;
        for (const NodeId &node : world.nodeIds()) {
            const FakeNode &candidate = world.node(node);
            wanted = wanted || (candidate.alive && candidate.isOwnershipWanted(group));
        }
        if (!wanted) {
            world.assign(group, randomNode(world));
        }
    }
}

void injectFaults(World &world, std::uint64_t disabledFaults)
{
    std::array<std::uint64_t, injectedFaults.size()> levels {};
    for (std::size_t kind = 0; kind < injectedFaults.size(); ++kind) {
        const std::uint64_t drawn = world.random(3) * injectedFaults[kind].perMille;
        levels[kind] = (disabledFaults >> kind & 1) != 0 ? 0 : drawn;
    }
    world.setMessageFaults(drawMessageFaults(world, disabledFaults));
    world.setListLag(milliseconds(world.random(3000)));
    const bool isLong = world.random(4) == 0;
    const Instant end = world.time() + (isLong ? longFaultPhase : faultPhase);
    while (world.time() < end) {
        for (std::size_t kind = 0; kind < injectedFaults.size(); ++kind) {
            if (world.chance(levels[kind])) {
                injectedFaults[kind].inject(world);
            }
        }
        if (isLong) {
            ensureOwners(world);
        }
        world.run(roundLength);
    }
}

void endFaults(World &world)
{
    world.addTrace("fault phase ends");
    world.setMessageFaults({});
    world.setLogDown(false);
    world.setPartitioned(false);
    world.setRenewing(false);
    world.restoreLinks();
    world.setListLag({});
    world.cancelJob(JobId("watch"));
    for (const VmId &worker : world.liveWorkers()) {
        world.setSilent(worker, false);
    }
    for (const NodeId &node : world.nodeIds()) {
        if (!world.node(node).alive) {
            world.restartNode(node);
        }
    }
    for (const GroupId &group : world.groupIds()) {
        world.addWorker(group, vmCapacity);
    }
}

} // namespace

std::optional<Finding> explore(const Trial &trial)
{
    WorldOptions options;
    options.seed = trial.seed;
    options.durations = shortDurations();
    options.guards = trial.guards;
    options.workerGuards = trial.workerGuards;
    options.durations.returnAfter = seconds(trial.seed % 2 == 0 ? 1 : 4);
    World world(options);
    try {
        setUp(world);
        injectFaults(world, trial.disabledFaults);
        endFaults(world);
        const Instant end = world.time() + recoveryPhase;
        while (world.time() < end && !world.areAllJobsFinished()) {
            ensureOwners(world);
            world.run(seconds(2));
        }
        if (!world.areAllJobsFinished() && !world.isLogUnrecoverable()) {
            return Finding { trial,
                             "progress: jobs are unfinished at the end of the recovery phase",
                             world.trace() };
        }
    } catch (const std::exception &exception) {
        return Finding { trial, exception.what(), world.trace() };
    }
    return std::nullopt;
}

std::optional<Finding> exploreSeeds(const Trial &base, std::uint64_t first, std::uint64_t count)
{
    Trial trial = base;
    for (trial.seed = first; trial.seed < first + count; ++trial.seed) {
        std::optional<Finding> finding = explore(trial);
        if (!finding) {
            continue;
        }
        for (std::size_t kind = 0; kind < faultKindCount; ++kind) {
            Trial reduced = finding->trial;
            reduced.disabledFaults |= std::uint64_t { 1 } << kind;
            std::optional<Finding> reducedFinding = explore(reduced);
            if (reducedFinding
                && reducedFinding->failure.substr(0, 2) == finding->failure.substr(0, 2)) {
                finding = std::move(reducedFinding);
            }
        }
        return finding;
    }
    return std::nullopt;
}

std::vector<std::string> injectEachKind(std::uint64_t seed)
{
    constexpr int rounds = 2;
    WorldOptions options;
    options.seed = seed;
    options.durations = shortDurations();
    World world(options);
    setUp(world);
    for (int round = 0; round < rounds; ++round) {
        for (const InjectedFault &fault : injectedFaults) {
            fault.inject(world);
        }
    }
    return world.trace();
}

std::string describe(const Finding &finding)
{
    std::string text =
            "seed " + std::to_string(finding.trial.seed) + ": " + finding.failure + "\nneeds:";
    for (std::size_t kind = 0; kind < faultKindCount; ++kind) {
        if ((finding.trial.disabledFaults >> kind & 1) == 0) {
            const bool isInjectedFault = kind < injectedFaults.size();
            text += ' ';
            text += isInjectedFault ? injectedFaults[kind].name
                                    : messageFaultNames[kind - injectedFaults.size()];
            text += ',';
        }
    }
    const std::size_t lines = finding.trace.size();
    for (std::size_t line = lines > maxDescribedLines ? lines - maxDescribedLines : 0; line < lines;
         ++line) {
        text += '\n' + finding.trace[line];
    }
    return text;
}

} // namespace bulrush::explorer

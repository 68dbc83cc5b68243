#include "Explorer.h"

#include <array>

namespace bulrush::explorer {

namespace {

constexpr Duration troubleTime = seconds(45);
constexpr Duration longTroubleTime = seconds(110); ///< beyond the log's retention
constexpr Duration quietTime = seconds(200);
constexpr Duration turnLength = milliseconds(800);
constexpr Resources vmCapacity { 4000, 4000, 1 };
constexpr std::size_t traceLength = 70;

/** One kind of trouble; each can be left out when a finding is reduced. */
struct Trouble
{
    std::string_view name;
    std::uint64_t perMille; ///< a turn, or a message
    void (*strike)(World &world);
};

NodeId anyNode(World &world)
{
    const std::vector<NodeId> ids = world.nodeIds();
    return ids[world.random(ids.size())];
}

VmId anyWorker(World &world)
{
    const std::vector<VmId> live = world.liveWorkers();
    return live[world.random(live.size())];
}

GroupId anyGroup(World &world)
{
    return world.groupIds()[world.random(world.groupIds().size())];
}

TaskId anyTask(World &world)
{
    return { JobId(world.chance(500) ? "batch" : "watch"),
             static_cast<std::uint32_t>(world.random(5)) };
}

void replaceVm(World &world)
{
    if (world.liveWorkers().size() > 2) {
        world.killWorker(anyWorker(world));
    }
    world.addWorker(anyGroup(world), vmCapacity);
}

void replaceNode(World &world)
{
    const NodeId node = anyNode(world);
    if (world.node(node).alive && world.chance(600)) {
        world.killNode(node);
    } else {
        world.restartNode(node);
    }
}

const std::array troubles {
    Trouble { "takeover", 350,
              [](World &world) { world.assign(anyGroup(world), anyNode(world)); } },
    Trouble { "node replaced", 60, replaceNode },
    Trouble { "node paused", 80,
              [](World &world) {
                  world.pauseNode(anyNode(world), milliseconds(500 + world.random(30'000)));
              } },
    Trouble { "VM replaced", 30, replaceVm },
    Trouble { "worker restarted", 40, [](World &world) { world.restartWorker(anyWorker(world)); } },
    Trouble { "worker silent", 50,
              [](World &world) { world.setSilent(anyWorker(world), world.chance(700)); } },
    Trouble { "broken links", 80,
              [](World &world) {
                  world.setLinkBroken(anyNode(world), anyWorker(world), world.chance(700));
              } },
    Trouble { "VM leaving", 10, [](World &world) { world.setWorkerLeaving(anyWorker(world)); } },
    Trouble { "eviction", 150, [](World &world) { world.evict(anyTask(world)); } },
    Trouble { "log outage", 60, [](World &world) { world.setLogDown(world.chance(600)); } },
    Trouble { "cut", 50, [](World &world) { world.setCut(world.chance(600)); } },
    Trouble { "renewers", 80, [](World &world) { world.setRenewing(world.chance(600)); } },
};

/** Sets the trouble of messages; each seed has its own mix. */
Chaos chaosOf(World &world, std::uint64_t without)
{
    std::uint64_t bit = troubles.size();
    const auto level = [&world, &bit, without](std::uint64_t most) {
        const std::uint64_t drawn = world.random(3) == 0 ? 0 : world.random(most);
        return (without >> bit++ & 1) != 0 ? 0 : drawn;
    };
    Chaos chaos;
    chaos.lostRequest = level(200);
    chaos.lostAnswer = level(200);
    chaos.doubledRequest = level(250);
    chaos.slowRequest = level(250);
    chaos.slowAnswer = level(150);
    chaos.lostAppend = level(200);
    chaos.lateAppend = level(250);
    chaos.doubledAppend = level(300);
    chaos.slowRead = level(150);
    return chaos;
}

constexpr std::array<std::string_view, 9> chaosNames {
    "lost requests", "lost answers", "doubled requests", "slow requests",  "slow answers",
    "lost appends",  "late appends", "doubled appends",  "slow log reads",
};

constexpr std::size_t troubleKinds = troubles.size() + chaosNames.size();

void setUp(World &world)
{
    for (const GroupId &group : world.groupIds()) {
        world.addWorker(group, vmCapacity);
        world.addWorker(group, vmCapacity);
        world.assign(group, anyNode(world));
    }
    const std::int64_t runMs = world.chance(500) ? 7000 : 30'000;
    world.addJob(
            { JobId("batch"), TeamId("t"), TaskKind::Batch, 5, { 1500, 1000, 0 }, runMs, false });
    world.addJob({ JobId("watch"), TeamId("t"), TaskKind::Watcher, 4, { 500, 500, 0 }, 0, true });
    world.addJob({ JobId("accel"), TeamId("u"), TaskKind::Batch, 3, { 500, 500, 1 }, 3000, false });
}

/** Names an owner for each group that nobody owns. */
void keepOwned(World &world)
{
    for (const GroupId &group : world.groupIds()) {
        bool claimed = false;
        for (const NodeId &node : world.nodeIds()) {
            const FakeNode &candidate = world.node(node);
            claimed = claimed || (candidate.alive && candidate.wants(group));
        }
        if (!claimed) {
            world.assign(group, anyNode(world));
        }
    }
}

void makeTrouble(World &world, std::uint64_t without)
{
    std::array<std::uint64_t, troubles.size()> levels {};
    for (std::size_t kind = 0; kind < troubles.size(); ++kind) {
        const std::uint64_t drawn = world.random(3) * troubles[kind].perMille;
        levels[kind] = (without >> kind & 1) != 0 ? 0 : drawn;
    }
    world.setChaos(chaosOf(world, without));
    world.setListLag(milliseconds(world.random(3000)));
    const bool isLong = world.random(4) == 0;
    const Instant end = world.time() + (isLong ? longTroubleTime : troubleTime);
    while (world.time() < end) {
        for (std::size_t kind = 0; kind < troubles.size(); ++kind) {
            if (world.chance(levels[kind])) {
                troubles[kind].strike(world);
            }
        }
        if (isLong) {
            keepOwned(world);
        }
        world.run(turnLength);
    }
}

void calmDown(World &world)
{
    world.note("trouble ends");
    world.setChaos({});
    world.setLogDown(false);
    world.setCut(false);
    world.setRenewing(false);
    world.mendLinks();
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
    options.help = trial.help;
    options.durations.returnAfter = seconds(trial.seed % 2 == 0 ? 1 : 4);
    World world(options);
    try {
        setUp(world);
        makeTrouble(world, trial.without);
        calmDown(world);
        const Instant end = world.time() + quietTime;
        while (world.time() < end && !world.isAllFinished()) {
            keepOwned(world);
            world.run(seconds(2));
        }
        if (!world.isAllFinished() && !world.isLogLost()) {
            return Finding { trial, "progress: work is left after the trouble ended",
                             world.trace() };
        }
    } catch (const std::exception &fault) {
        return Finding { trial, fault.what(), world.trace() };
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
        for (std::size_t kind = 0; kind < troubleKinds; ++kind) {
            Trial smaller = finding->trial;
            smaller.without |= std::uint64_t { 1 } << kind;
            std::optional<Finding> still = explore(smaller);
            if (still && still->fault.substr(0, 2) == finding->fault.substr(0, 2)) {
                finding = std::move(still);
            }
        }
        return finding;
    }
    return std::nullopt;
}

std::string describe(const Finding &finding)
{
    std::string text =
            "seed " + std::to_string(finding.trial.seed) + ": " + finding.fault + "\nneeds:";
    for (std::size_t kind = 0; kind < troubleKinds; ++kind) {
        if ((finding.trial.without >> kind & 1) == 0) {
            const bool striking = kind < troubles.size();
            text += ' ';
            text += striking ? troubles[kind].name : chaosNames[kind - troubles.size()];
            text += ',';
        }
    }
    const std::size_t lines = finding.trace.size();
    for (std::size_t line = lines > traceLength ? lines - traceLength : 0; line < lines; ++line) {
        text += '\n' + finding.trace[line];
    }
    return text;
}

} // namespace bulrush::explorer

#include "GroupSimulation.h"

#include "CompactExchange.h"
#include "LogPages.h"
#include "Meters.h"

#include "bulrush_core/errors/Error.h"

#include <algorithm>

namespace bulrush::bench {

namespace {

constexpr Duration tickPeriod = milliseconds(50);
constexpr Duration phaseTimeout = minutes(10);
constexpr std::uint32_t tasksPerJob = 128;
constexpr std::uint32_t tasksPerRange = 32;
constexpr Resources taskNeed { 2'000, 7'000, 0 };

/** Run time of tasks that do not end; longer than any measurement. */
constexpr std::int64_t endlessMs = 1'000'000'000;

JobSpec jobSpec(const std::string &name, std::int64_t runMs)
{
    return { JobId(name), TeamId("team-17"), TaskKind::Batch, tasksPerJob, taskNeed, runMs, false };
}

} // namespace

GroupSimulation::GroupSimulation(const GroupSize &groupSize, std::uint64_t seed)
    : size(groupSize)
{
    const auto tasks = static_cast<std::int64_t>(this->size.tasksPerWorker);
    const Resources capacity { taskNeed.cpuMilli * tasks, taskNeed.memoryMb * tasks, 0 };
    for (std::size_t index = 0; index < this->size.workers; ++index) {
        const VmId id("dc-1-vm-" + std::to_string(1'000 + index));
        this->workers.emplace(id, SimulatedWorker(id, capacity, seed + index));
    }
    this->addForeignRanges();
    const std::size_t needed = this->size.workers * this->size.tasksPerWorker / tasksPerJob;
    this->addJobs(needed + 1 + this->size.waitingJobs);
    this->createOwner("entry-1");
}

void GroupSimulation::createOwner(const std::string &node)
{
    const OwnerIdentity identity { NodeId(node), node + ".1764800000.4711",
                                   GroupId("dc-1.rack-17") };
    this->groupOwner = std::make_unique<GroupOwner>(identity, this->durations, this->placement);
    std::vector<VmStatus> list;
    for (const auto &[id, worker] : this->workers) {
        list.push_back({ id, false });
    }
    this->groupOwner->updateVmList(list, this->now);
    this->groupOwner->setGroupFirstRetainedOffset(0);
    this->groupOwner->setWanted(true);
}

void GroupSimulation::addForeignRanges()
{
    if (this->size.foreignRanges == 0) {
        return;
    }
    const GroupId other("dc-1.rack-18");
    this->workLog.push_back(encode(GroupClaim { "claim", other, NodeId("entry-9"), 1 }));
    GroupOperation operation { other, 1, 1, {} };
    const std::uint32_t rangesPerJob = tasksPerJob / tasksPerRange;
    for (std::size_t range = 0; range < this->size.foreignRanges; ++range) {
        const JobId job("foreign-" + std::to_string(range / rangesPerJob));
        const auto first = static_cast<std::uint32_t>(range % rangesPerJob) * tasksPerRange;
        operation.items.push_back(
                { WorkChange::ClaimTasks, job, first, first + tasksPerRange - 1, 0, {}, {} });
        this->jobs.add(jobSpec(job.name(), endlessMs));
    }
    this->workLog.push_back(encode(operation));
}

void GroupSimulation::addJobs(std::size_t count)
{
    for (std::size_t index = 0; index < count; ++index) {
        const std::string name = "reassessment-" + std::to_string(++this->jobCount);
        this->jobs.add(jobSpec(name, this->size.runMs > 0 ? this->size.runMs : endlessMs));
        this->openJobs[JobId(name)] = tasksPerJob;
    }
}

/** Removes completed jobs from the job list, as the records of their ends would. */
void GroupSimulation::removeFinishedJobs()
{
    std::erase_if(this->openJobs, [this](const auto &job) {
        const bool complete = this->workFollower.state().isComplete(job.first, job.second);
        if (complete) {
            this->jobs.remove(job.first);
        }
        return complete;
    });
}

/** Adds jobs until the requested number of them has tasks that no group has claimed. */
void GroupSimulation::addWaitingJobs()
{
    const auto waiting = static_cast<std::size_t>(
            std::count_if(this->openJobs.begin(), this->openJobs.end(), [this](const auto &job) {
                return this->workFollower.state().freeRange(job.first, job.second, 1).has_value();
            }));
    if (waiting < this->size.waitingJobs) {
        this->addJobs(this->size.waitingJobs - waiting);
    }
}

//==============================================================================
void GroupSimulation::fill()
{
    const Instant end = this->now + phaseTimeout;
    while (this->runningTasks() < this->size.workers * this->size.tasksPerWorker) {
        this->tick();
        if (this->now > end) {
            throw Error("fill group", "dc-1.rack-17", "the workers are not full in time");
        }
    }
}

GroupCosts GroupSimulation::run(Duration span)
{
    this->costs = {};
    const Instant end = this->now + span;
    Instant lastCheck = this->now;
    while (this->now < end) {
        this->tick();
        if (this->size.runMs > 0 && this->now - lastCheck >= seconds(1)) {
            lastCheck = this->now;
            this->removeFinishedJobs();
            this->addWaitingJobs();
        }
    }
    return this->costs;
}

GroupCosts GroupSimulation::takeOver()
{
    this->costs = {};
    this->answers.clear();
    const std::size_t before = heapBytes();
    this->groupOwner.reset();
    this->costs.ownerHeapBytes = before - heapBytes();
    this->createOwner("entry-2");
    const Instant end = this->now + phaseTimeout;
    while (!this->isSettled()) {
        this->tick();
        if (this->now > end) {
            throw Error("take over group", "dc-1.rack-17",
                        "the owner has not exchanged with every worker in time");
        }
    }
    return this->costs;
}

bool GroupSimulation::isSettled() const
{
    return this->groupOwner->phase() == GroupOwner::Phase::Owning
            && std::all_of(this->groupOwner->workers().begin(), this->groupOwner->workers().end(),
                           [](const auto &entry) { return entry.second.ledger.isKnown(); });
}

std::size_t GroupSimulation::runningTasks() const
{
    std::size_t running = 0;
    for (const auto &[id, worker] : this->groupOwner->workers()) {
        running += worker.inventory.size();
    }
    return running;
}

//==============================================================================
void GroupSimulation::tick()
{
    this->now += tickPeriod;
    this->readLogs();
    for (const ExchangeAnswer &answer : std::exchange(this->answers, {})) {
        const CpuTimer timer;
        this->groupOwner->exchangeAnswered(answer, this->now);
        this->costs.answerHandlingMicros += timer.micros();
    }
    const WorkView view { &this->workFollower.state(), true, this->now,
                          this->workFollower.nextOffset() };
    const CpuTimer timer;
    const std::vector<Action> actions = this->groupOwner->tick(this->now, view, this->jobs);
    const double tickMicros = timer.micros();
    (actions.empty() ? this->costs.quietTickMicros : this->costs.busyTickMicros) += tickMicros;
    this->costs.quietTicks += actions.empty() ? 1 : 0;
    for (const Action &action : actions) {
        if (const auto *appended = std::get_if<AppendAction>(&action)) {
            this->append(*appended);
        } else if (const auto *sent = std::get_if<ExchangeAction>(&action)) {
            this->exchange(*sent);
        }
    }
}

void GroupSimulation::readLogs()
{
    for (std::uint64_t next = this->workFollower.nextOffset(); next < this->workLog.size();
         ++next) {
        this->workFollower.read(next, this->workLog[next]);
    }
    const CpuTimer timer;
    std::uint64_t next = this->groupOwner->nextGroupOffset();
    for (; next < this->groupLog.size(); ++next) {
        this->groupOwner->readGroupRecord(next, this->groupLog[next]);
    }
    this->costs.readMicros += timer.micros();
}

void GroupSimulation::append(const AppendAction &action)
{
    const bool isWorkStream = action.stream == GroupOwner::workStream;
    (isWorkStream ? this->costs.workAppends : this->costs.groupAppends) += 1;
    (isWorkStream ? this->costs.workBytes : this->costs.groupBytes) += action.payload.size();
    (isWorkStream ? this->costs.workReadBytes : this->costs.groupReadBytes) +=
            pageText({ action.payload }).size();
    (isWorkStream ? this->workLog : this->groupLog).push_back(action.payload);
}

void GroupSimulation::exchange(const ExchangeAction &action)
{
    const CpuTimer encoding;
    const std::string request = encode(action.request);
    this->costs.codecMicros += encoding.micros();
    const auto nowMs = duration_cast<milliseconds>(this->now.time_since_epoch()).count();
    const std::string answer =
            encode(this->workers.at(action.worker).handle(action.request, nowMs));
    const CpuTimer decoding;
    this->answers.push_back(decodeExchangeAnswer(answer));
    this->costs.codecMicros += decoding.micros();
    this->costs.exchanges += 1;
    this->costs.requestBytes += request.size();
    this->costs.answerBytes += answer.size();
    this->costs.compactRequestBytes += encodeCompact(action.request).size();
    this->costs.compactAnswerBytes += encodeCompact(this->answers.back()).size();
    this->costs.starts += action.request.starts.size();
}

} // namespace bulrush::bench

#include "bulrush_steps/policy/Preemption.h"

#include "bulrush_steps/policy/CrashSuspects.h"
#include "bulrush_steps/policy/RoomForecast.h"

#include <algorithm>
#include <tuple>

namespace bulrush {

namespace {

/** How long a long-running task keeps its room at least, so that stops and starts take a small part
    of its time. */
constexpr seconds minTurn { 5 };

/** A filling run gives up its memory only when it has been paused for this long. */
constexpr seconds minPause { 3 };

/** Room that is expected within this time is waited for instead of stopping more runs. */
constexpr milliseconds soon { 1000 };

/** Returns whether a size needs more of a resource than there is, and a run would give some. */
bool helps(const ResourceVector &run, const ResourceVector &size, const ResourceVector &room)
{
    return (size.cpuMilli > room.cpuMilli && run.cpuMilli > 0)
            || (size.memoryMb > room.memoryMb && run.memoryMb > 0)
            || (size.accelerators > room.accelerators && run.accelerators > 0);
}

bool sufficesWith(const ResourceVector &run, const ResourceVector &size, ResourceVector room)
{
    room += run;
    return size.fitsInto(room);
}

} // namespace

bool Preemption::willSoonHaveRoom(const Worker &worker, const ResourceVector &size, Instant now)
{
    return now >= worker.avoidUntil && !CrashSuspects::isSetApart(worker)
            && size.fitsInto(roomExpectedBy(worker, now + soon, now));
}

bool Preemption::isVictim(const Run &run) const
{
    if (!run.preemptible || run.phase != RunPhase::Running || run.stopRequested
        || run.mayHaveEnded) {
        return false;
    }
    if (run.fillCpuMilli > 0) {
        return run.pacePercent == 0 && this->now - run.pausedAt >= minPause;
    }
    return run.runsIndefinitely && this->now - run.placedAt >= minTurn;
}

bool Preemption::isCandidate(const Worker &worker, const TaskRequest &request) const
{
    if (!worker.takesStarts() || this->now < worker.avoidUntil || CrashSuspects::isSetApart(worker)
        || !Placement::isEligible(worker, request)
        || !Placement::hasSiblingCapacity(worker, request)) {
        return false;
    }
    return !worker.reservation
            || (worker.reservation->step == request.ref
                && !willSoonHaveRoom(worker, worker.reservation->size, this->now));
}

std::vector<const Run *> Preemption::victimsOn(const Worker &worker, const ResourceVector &size,
                                               const ResourceVector &room) const
{
    std::vector<const Run *> victims;
    for (const auto &[attempt, run] : worker.runs) {
        if (this->isVictim(run) && helps(run.size, size, room)) {
            victims.push_back(&run);
        }
    }
    // Paused runs do no work. Of the others come first those that suffice alone, and of these the
    // one that has had its room longest; then the largest.
    const auto order = [&size, &room](const Run *run) {
        const bool works = run->fillCpuMilli == 0;
        const bool larger = run->size.cpuMilli > size.cpuMilli;
        return sufficesWith(run->size, size, room)
                ? std::tuple(works, 0, larger, run->placedAt.time_since_epoch().count())
                : std::tuple(works, 1, false, -run->size.cpuMilli);
    };
    std::sort(victims.begin(), victims.end(),
              [&order](const Run *a, const Run *b) { return order(a) < order(b); });
    return victims;
}

std::optional<Preemption::Option> Preemption::optionOn(Worker &worker,
                                                       const TaskRequest &request) const
{
    const ResourceVector size = request.step->reserved();
    ResourceVector room = roomExpectedBy(worker, this->now + soon, this->now);
    std::vector<const Run *> chosen;
    for (const Run *run : this->victimsOn(worker, size, room)) {
        if (size.fitsInto(room)) {
            break;
        }
        if (helps(run->size, size, room)) {
            room += run->size;
            chosen.push_back(run);
        }
    }
    if (chosen.empty() || !size.fitsInto(room)) {
        return std::nullopt;
    }
    Option option;
    option.choice.worker = &worker;
    for (const Run *run : chosen) {
        ResourceVector without = room;
        without -= run->size;
        if (size.fitsInto(without)) {
            room = without;
            continue;
        }
        option.choice.victims.push_back(run->attempt);
        option.stopsLargerRun = option.stopsLargerRun || run->size.cpuMilli > size.cpuMilli;
        option.newestTurn = std::max(option.newestTurn, run->placedAt);
    }
    return option;
}

bool Preemption::Option::isBetterThan(const Option &other) const
{
    const auto cost = [](const Option &each) {
        return std::tuple(each.choice.victims.size(), each.stopsLargerRun, each.newestTurn);
    };
    return cost(*this) < cost(other);
}

std::optional<PreemptionChoice> Preemption::choose(std::map<TargetId, Worker> &workers,
                                                   const TaskRequest &request) const
{
    std::optional<Option> best;
    for (auto &[id, worker] : workers) {
        if (!this->isCandidate(worker, request)) {
            continue;
        }
        const std::optional<Option> option = this->optionOn(worker, request);
        if (option && (!best || option->isBetterThan(*best))) {
            best = option;
        }
    }
    return best ? std::optional(best->choice) : std::nullopt;
}

} // namespace bulrush

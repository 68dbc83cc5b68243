#include "bulrush_steps/workers/EndedWorkerFinder.h"

#include <algorithm>
#include <vector>

namespace bulrush {

namespace {

/** How long a worker must have been silent before the list is read for it. */
constexpr milliseconds minSilence { 100 };

/** Limits of the time between two readings. */
constexpr milliseconds minInterval { 250 };
constexpr milliseconds maxInterval { 2000 };

/** The share of the calls accepted from all nodes that the readings may use. */
constexpr double maxShareOfCalls = 0.25;

constexpr milliseconds readTimeout { 800 };

} // namespace

EndedWorkerFinder::EndedWorkerFinder(const Clock &systemClock, WorkerProcessList *processes,
                                     double acceptedCallsPerSecond, Listener &endListener)
    : clock(systemClock)
    , list(processes)
    , callsPerSecond(acceptedCallsPerSecond)
    , listener(endListener)
    , interval(minInterval)
{
}

EndedWorkerFinder::~EndedWorkerFinder()
{
    *this->alive = false;
}

void EndedWorkerFinder::clear()
{
    *this->alive = false;
    this->alive = std::make_shared<bool>(true);
    this->silentWorkers.clear();
    this->reading = false;
    this->listReadAt.reset();
}

std::optional<milliseconds> EndedWorkerFinder::listAge() const
{
    if (!this->listReadAt) {
        return std::nullopt;
    }
    return duration_cast<milliseconds>(this->clock.now() - *this->listReadAt);
}

void EndedWorkerFinder::tick(const std::set<TargetId> &silent)
{
    if (this->list == nullptr || this->callsPerSecond <= 0.0) {
        return;
    }
    const Instant now = this->clock.now();
    this->updateSilentWorkers(silent, now);
    if (this->readIsDue(now)) {
        this->readList(now);
    }
}

void EndedWorkerFinder::updateSilentWorkers(const std::set<TargetId> &silent, Instant now)
{
    std::erase_if(this->silentWorkers,
                  [&silent](const auto &entry) { return !silent.contains(entry.first); });
    if (this->silentWorkers.size() == silent.size()) {
        return;
    }
    for (const TargetId &worker : silent) {
        this->silentWorkers.try_emplace(worker, SilentWorker { now });
    }
    this->interval = minInterval;
    this->nextReadAt = std::min(this->nextReadAt, now + minInterval);
}

bool EndedWorkerFinder::readIsDue(Instant now) const
{
    if (this->reading || now < this->nextReadAt || now < this->nextAllowedAt) {
        return false;
    }
    return std::any_of(this->silentWorkers.begin(), this->silentWorkers.end(),
                       [now](const auto &entry) {
                           const SilentWorker &worker = entry.second;
                           return !worker.ended && now - worker.silentSince >= minSilence;
                       });
}

void EndedWorkerFinder::readList(Instant now)
{
    const std::chrono::duration<double> fairInterval(this->callsPerReading
                                                     / (this->callsPerSecond * maxShareOfCalls));
    this->reading = true;
    this->nextReadAt = now + this->interval;
    this->nextAllowedAt = now + std::chrono::duration_cast<Duration>(fairInterval);
    this->list->read(readTimeout,
                     [this, now, isAlive = this->alive](std::optional<WorkerProcesses> processes) {
                         if (!*isAlive) {
                             return;
                         }
                         this->reading = false;
                         if (processes) {
                             this->listReadAt = now;
                             this->handleList(now, *processes);
                         }
                     });
}

void EndedWorkerFinder::handleList(Instant sentAt, const WorkerProcesses &processes)
{
    this->callsPerReading = std::max(1U, processes.calls);
    if (!this->listener.isCredible(processes)) {
        return;
    }
    std::vector<TargetId> ended;
    bool anyMissing = false;
    for (auto &[id, worker] : this->silentWorkers) {
        if (worker.ended || worker.silentSince > sentAt) {
            continue;
        }
        const bool missing = !processes.running.contains(id);
        worker.ended = missing && worker.missing;
        worker.missing = missing;
        if (worker.ended) {
            ended.push_back(id);
        }
        anyMissing = anyMissing || missing;
    }
    this->interval = anyMissing ? Duration(minInterval)
                                : std::min<Duration>(this->interval * 2, maxInterval);
    for (const TargetId &worker : ended) {
        this->listener.workerEnded(worker);
    }
}

} // namespace bulrush

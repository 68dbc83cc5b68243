#include "bulrush_steps/dispatch/StartReservations.h"

#include "bulrush_steps/policy/JobRank.h"
#include "bulrush_steps/policy/Preemption.h"
#include "bulrush_steps/policy/RoomForecast.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace bulrush {

namespace {

/** A reservation lapses after this time, and a worker is chosen anew. */
constexpr milliseconds maxReservation { 3000 };

/** At most one of this many workers of a service has a reservation. */
constexpr std::size_t workersAReservation = 4;

/** A task that has waited this long has exclusive reservations, on one of this many workers. */
constexpr milliseconds exclusiveWait = 2 * maxRestartWait;
constexpr std::size_t workersAnExclusiveReservation = 64;

/** Returns when a task is expected to find room on a worker; none if it may not start there or no
    end of a run makes room. */
std::optional<Instant> startExpectedAt(const Worker &worker, const TaskRequest &request,
                                       Instant now)
{
    if (!worker.takesStarts() || !Placement::isEligible(worker, request)
        || !Placement::hasSiblingCapacity(worker, request)) {
        return std::nullopt;
    }
    const std::optional<Instant> at = roomExpectedAt(worker, request.step->reserved(), now);
    return at ? std::optional(std::max(*at, worker.avoidUntil)) : std::nullopt;
}

} // namespace

void StartReservations::uncount(const StepRef &step)
{
    const auto count = this->counts.find(step);
    if (count != this->counts.end() && --count->second == 0) {
        this->counts.erase(count);
    }
}

void StartReservations::sweep(Instant now,
                              const std::function<std::uint32_t(const StepRef &)> &needed)
{
    for (auto at = this->reserved.begin(); at != this->reserved.end();) {
        Worker *worker = this->workers.find(at->first);
        const bool kept = worker != nullptr && worker->reservation;
        const bool wanted =
                kept && worker->takesStarts() && this->countOf(at->second) <= needed(at->second);
        if (wanted && (now < worker->reservation->lapsesAt || worker->stopRequests > 0)) {
            ++at;
            continue;
        }
        ++(wanted ? this->totals.lapsed : this->totals.dropped);
        if (kept) {
            worker->reservation.reset();
        }
        this->uncount(at->second);
        at = this->reserved.erase(at);
    }
}

std::size_t StartReservations::available(const ServiceId &service) const
{
    std::size_t all = 0;
    std::size_t taken = 0;
    for (const auto &[id, worker] : this->workers.workers()) {
        if (worker.entry.service == service && worker.takesStarts()) {
            ++all;
            taken += worker.reservation ? 1 : 0;
        }
    }
    const std::size_t most = (all + workersAReservation - 1) / workersAReservation;
    return most > taken ? most - taken : 0;
}

std::size_t StartReservations::availableExclusive(const ServiceId &service) const
{
    std::size_t all = 0;
    std::size_t taken = 0;
    for (const auto &[id, worker] : this->workers.workers()) {
        if (worker.entry.service == service && worker.takesStarts()) {
            ++all;
            taken += worker.reservation && worker.reservation->exclusive ? 1 : 0;
        }
    }
    const std::size_t most =
            (all + workersAnExclusiveReservation - 1) / workersAnExclusiveReservation;
    return most > taken ? most - taken : 0;
}

void StartReservations::reserve(const TaskRequest &request, std::uint32_t tasks, Duration waited,
                                Instant now)
{
    // The members of a gang need their room at the same time.
    const std::size_t most = request.step->gang
            ? tasks
            : std::min<std::size_t>(tasks, this->available(request.service));
    if (most == 0) {
        return;
    }
    const ResourceVector size = request.step->reserved();
    std::vector<std::pair<Instant, Worker *>> candidates;
    for (auto &[id, worker] : this->workers.workers()) {
        if (worker.reservation) {
            continue;
        }
        if (const std::optional<Instant> at = startExpectedAt(worker, request, now)) {
            candidates.emplace_back(*at, &worker);
        }
    }
    const std::size_t count = std::min(most, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count),
                      candidates.end(),
                      [](const auto &a, const auto &b) { return a.first < b.first; });
    candidates.resize(count);
    // The members of a gang gather their room one by one.
    std::size_t exclusive = request.step->gang ? count : 0;
    if (exclusive == 0 && waited >= exclusiveWait) {
        exclusive = this->availableExclusive(request.service);
    }
    for (const auto &[at, worker] : candidates) {
        this->reserveOn(*worker, request.ref, size, now);
        worker->reservation->exclusive = exclusive > 0;
        exclusive -= exclusive > 0 ? 1 : 0;
    }
}

void StartReservations::reserveOn(Worker &worker, const StepRef &step, const ResourceVector &size,
                                  Instant now)
{
    worker.reservation = StartReservation { step, size, now + maxReservation, false, false };
    const auto [entry, added] = this->reserved.try_emplace(worker.entry.worker, step);
    if (!added) {
        ++this->totals.dropped;
        this->uncount(entry->second);
        entry->second = step;
    }
    ++this->totals.made;
    ++this->counts[step];
}

std::uint32_t StartReservations::securedCountOf(const StepRef &step, Instant now) const
{
    if (this->countOf(step) == 0) {
        return 0;
    }
    return static_cast<std::uint32_t>(
            std::count_if(this->reserved.begin(), this->reserved.end(), [&](const auto &each) {
                const Worker *worker = this->workers.find(each.first);
                return each.second == step && worker != nullptr && worker->reservation
                        && worker->takesStarts()
                        && Preemption::willSoonHaveRoom(*worker, worker->reservation->size, now);
            }));
}

bool StartReservations::started(const StepRef &step, Worker &worker)
{
    if (!worker.reservation || worker.reservation->step != step) {
        return false;
    }
    worker.reservation.reset();
    this->reserved.erase(worker.entry.worker);
    this->uncount(step);
    ++this->totals.used;
    return true;
}

std::optional<Instant> StartReservations::roomExpectedAt(const TaskRequest &request,
                                                         Instant now) const
{
    std::optional<Instant> first;
    for (const auto &[id, worker] : this->workers.workers()) {
        const std::optional<Instant> at = startExpectedAt(worker, request, now);
        if (at && (!first || *at < *first)) {
            first = at;
        }
    }
    return first;
}

void StartReservations::clear()
{
    for (const auto &[id, step] : this->reserved) {
        if (Worker *worker = this->workers.find(id)) {
            worker->reservation.reset();
        }
    }
    this->totals.dropped += this->reserved.size();
    this->reserved.clear();
    this->counts.clear();
}

} // namespace bulrush

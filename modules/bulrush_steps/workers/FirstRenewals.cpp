#include "bulrush_steps/workers/FirstRenewals.h"

#include "bulrush_core/events/DecisionLog.h"

#include <algorithm>

namespace bulrush {

namespace {

/** How long after the owner began the line is written although workers lack a renewal. */
constexpr milliseconds maxWait { 5000 };

bool hasRunsOfFormerOwners(const Worker &worker)
{
    return std::any_of(worker.runs.begin(), worker.runs.end(),
                       [](const auto &entry) { return entry.second.found; });
}

} // namespace

FirstRenewals::FirstRenewals(const Clock &systemClock, DecisionLog &decisionLog)
    : clock(systemClock)
    , decisions(decisionLog)
{
}

void FirstRenewals::begin(std::uint64_t fencingToken, Instant gainedAt)
{
    this->token = fencingToken;
    this->ownerSince = gainedAt;
    this->begunAt = this->clock.now();
    this->written = false;
}

void FirstRenewals::update(const std::map<TargetId, Worker> &workers, std::uint64_t lapsed)
{
    if (this->written) {
        return;
    }
    const Instant now = this->clock.now();
    std::int64_t renewed = 0;
    std::int64_t silent = 0;
    Duration last {};
    Duration lastWithRuns {};
    for (const auto &[id, worker] : workers) {
        silent += !worker.firstRenewalAt && worker.failedHolds > 0 ? 1 : 0;
        if (worker.firstRenewalAt) {
            const Duration passed = *worker.firstRenewalAt - this->ownerSince;
            ++renewed;
            last = std::max(last, passed);
            lastWithRuns =
                    hasRunsOfFormerOwners(worker) ? std::max(lastWithRuns, passed) : lastWithRuns;
        }
    }
    const auto count = static_cast<std::int64_t>(workers.size());
    const bool complete = renewed > 0 && renewed + silent == count;
    if (!complete && now < this->begunAt + maxWait) {
        return;
    }
    this->written = true;
    const Duration sinceReady = now - this->begunAt;
    this->decisions.write(
            DecisionLine(Event::FirstRenewals)
                    .with("fencing_token", this->token)
                    .with("workers", count)
                    .with("unrenewed", count - renewed)
                    .with("silent", silent)
                    .with("since_ready_ms", duration_cast<milliseconds>(sinceReady).count())
                    .with("longest_ms", duration_cast<milliseconds>(last).count())
                    .with("longest_with_runs_ms", duration_cast<milliseconds>(lastWithRuns).count())
                    .with("lapsed", lapsed));
}

} // namespace bulrush

#include "bulrush_steps/policy/QueueService.h"

#include "bulrush_steps/policy/JobRank.h"

#include <algorithm>

namespace bulrush {

namespace {

/** How long a job counts after it was recorded. */
constexpr seconds window { 10 };

/** A queue with fewer jobs in the window is not judged. */
constexpr std::size_t minJobs = 5;

/** With fewer large jobs in the window, these are not judged apart. */
constexpr std::size_t minLargeJobs = 2;

/** A queue is late while a smaller share of its jobs is served. */
constexpr double minServedShare = 0.8;

/** A queue is late while the served share of its large jobs is less than this part of the served
    share of all its jobs. */
constexpr double minLargePart = 0.5;

/** The percentile of the sizes from which a job counts as large. */
constexpr std::size_t largePercentile = 90;

/** Returns a percentile of the sizes by the nearest rank. @param sizes at least one */
std::size_t percentileOf(std::vector<std::size_t> sizes)
{
    constexpr std::size_t percent = 100;
    const std::size_t rank = (sizes.size() * largePercentile + percent - 1) / percent;
    const auto at = sizes.begin() + static_cast<std::ptrdiff_t>(rank - 1);
    std::nth_element(sizes.begin(), at, sizes.end());
    return *at;
}

void add(ServiceCount &count, const ServedJob &job)
{
    ++count.jobs;
    count.inTime += job.inTime() ? 1 : 0;
    count.served += job.isServed() ? 1 : 0;
}

bool isLate(const QueueReport &report)
{
    const double share = report.all.servedShare();
    const bool largeJobsAreLate =
            report.large.jobs >= minLargeJobs && report.large.servedShare() < minLargePart * share;
    return share < minServedShare || largeJobsAreLate;
}

} // namespace

bool ServedJob::isServed() const
{
    return this->age <= this->objective * lateLimitFactor;
}

double ServiceCount::shareOf(std::size_t part) const
{
    return this->jobs == 0 ? 1.0 : static_cast<double>(part) / static_cast<double>(this->jobs);
}

void QueueService::record(const std::string &queue, const ServedJob &job, Instant now)
{
    if (job.objective > Duration::zero()) {
        this->queues[queue].samples.push_back({ job, now });
    }
}

std::vector<QueueReport> QueueService::judge(Instant now)
{
    std::vector<QueueReport> reports;
    for (auto &[name, queue] : this->queues) {
        std::erase_if(queue.samples,
                      [now](const Sample &each) { return now - each.recordedAt >= window; });
        QueueReport report = count(queue);
        report.queue = name;
        report.state = nextState(report, queue.late);
        if (report.state != QueueState::NotJudged) {
            queue.late = report.state == QueueState::Late;
        }
        reports.push_back(std::move(report));
    }
    std::erase_if(this->queues, [](const auto &each) {
        return each.second.samples.empty() && !each.second.late;
    });
    return reports;
}

QueueReport QueueService::count(const Queue &queue)
{
    QueueReport report;
    if (queue.samples.empty()) {
        return report;
    }
    std::vector<std::size_t> sizes;
    for (const Sample &sample : queue.samples) {
        sizes.push_back(sample.job.size);
    }
    report.largeSize = percentileOf(std::move(sizes));
    for (const Sample &sample : queue.samples) {
        add(report.all, sample.job);
        if (sample.job.size >= report.largeSize) {
            add(report.large, sample.job);
        }
    }
    return report;
}

QueueState QueueService::nextState(const QueueReport &report, bool wasLate)
{
    if (report.all.jobs < minJobs) {
        return QueueState::NotJudged;
    }
    if (isLate(report)) {
        return QueueState::Late;
    }
    return wasLate ? QueueState::Recovered : QueueState::Served;
}

} // namespace bulrush

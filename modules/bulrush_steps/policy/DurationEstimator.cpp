#include "bulrush_steps/policy/DurationEstimator.h"

#include <algorithm>

namespace bulrush {

namespace {

/** The smallest weight of a new sample in the moving average of a queue's ratio. */
constexpr double minSampleWeight = 0.05;

/** The estimate that is assumed for a step that declares none. */
constexpr milliseconds defaultEstimate { 1000 };

milliseconds estimateOf(const StepSpec &step)
{
    return step.estimate.count() > 0 ? step.estimate : defaultEstimate;
}

} // namespace

void DurationEstimator::recordDuration(const std::string &queue, const StepSpec &step,
                                       Duration actual)
{
    Ratio &ratio = this->ratios[queue];
    const double observed = std::chrono::duration<double>(actual).count()
            / std::chrono::duration<double>(estimateOf(step)).count();
    ++ratio.samples;
    const double weight = std::max(minSampleWeight, 1.0 / ratio.samples);
    ratio.value += weight * (observed - ratio.value);
}

milliseconds DurationEstimator::expectedDuration(const std::string &queue,
                                                 const StepSpec &step) const
{
    const auto found = this->ratios.find(queue);
    const double ratio = found == this->ratios.end() ? 1.0 : found->second.value;
    const auto estimate = static_cast<double>(estimateOf(step).count());
    return milliseconds(static_cast<std::int64_t>(estimate * ratio));
}

milliseconds DurationEstimator::criticalPath(const StepJob &job) const
{
    return this->longestPath(job, nullptr);
}

milliseconds DurationEstimator::objective(const StepJob &job) const
{
    const auto path = static_cast<double>(this->criticalPath(job).count());
    return milliseconds(static_cast<std::int64_t>(path * job.slackFactor)) + job.latencyTarget;
}

milliseconds DurationEstimator::remainingPath(const JobEntry &job, std::uint32_t occurrence) const
{
    return this->longestPath(job.spec, &job.occurrences.at(occurrence));
}

milliseconds DurationEstimator::longestPath(const StepJob &job,
                                            const OccurrenceState *progress) const
{
    std::vector<milliseconds> ends(job.steps.size());
    milliseconds longest { 0 };
    for (std::size_t step = 0; step < job.steps.size(); ++step) {
        milliseconds start { 0 };
        for (const std::uint32_t earlier : job.steps[step].dependsOn) {
            start = std::max(start, ends.at(earlier));
        }
        const bool ended = progress != nullptr && progress->steps[step].tasks.allSucceeded();
        const milliseconds duration =
                ended ? milliseconds(0) : this->expectedDuration(job.queue, job.steps[step]);
        ends[step] = start + duration;
        longest = std::max(longest, ends[step]);
    }
    return longest;
}

} // namespace bulrush

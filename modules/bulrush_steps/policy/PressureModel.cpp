#include "bulrush_steps/policy/PressureModel.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace bulrush {

namespace {

/** Variance of one report around the load that it is of. */
constexpr double reportVariance = 0.005;

/** Coefficients drift: what was learned long ago counts less. */
constexpr double driftPerReport = 0.0005;

constexpr double largestCoefficient = 8.0;

/** The weight of the newest report in the variance of an image's reports. */
constexpr double varianceWeight = 0.01;

/** Even a model that fits well is not taken to be surer than this. */
constexpr double leastVariance = 0.0025;

/** A filling task that presses less than this is taken to press not at all. */
constexpr double leastPressure = 0.005;

/** Of serving tasks that have not reported. */
constexpr double unknownPressure = 0.45;

/** The load of a job that has not reported for so long is forgotten. */
constexpr milliseconds loadKept { 30'000 };

/** Shares below this say nothing of an image. */
constexpr double leastShare = 0.01;

} // namespace

double PressureModel::usedShare(const Worker &worker, const Run &fill)
{
    return worker.shareOf(fill.load);
}

double PressureModel::fullShare(const Worker &worker, const Run &fill)
{
    return worker.shareOf(static_cast<double>(fill.fillCpuMilli) * fill.pacePercent / 100.0);
}

double PressureModel::coefficient(const std::string &fillImage,
                                  const std::string &servingImage) const
{
    const auto serving = this->images.find(servingImage);
    if (serving == this->images.end()) {
        return Coefficient().value;
    }
    const auto found = serving->second.byFill.find(fillImage);
    return found == serving->second.byFill.end() ? Coefficient().value : found->second.value;
}

double PressureModel::pressure(const Run &serving) const
{
    const auto found = this->images.find(serving.image);
    if (serving.load <= 0.0 || found == this->images.end() || found->second.idleTail <= 0.0) {
        return unknownPressure;
    }
    const double idle = found->second.idleTail;
    return 1.0 - idle / std::max(idle, serving.load);
}

double PressureModel::bound(const Run &serving) const
{
    const auto found = this->images.find(serving.image);
    const auto target = static_cast<double>(serving.tailTarget.count());
    if (found == this->images.end() || found->second.idleTail <= 0.0 || target <= 0.0) {
        return 1.0;
    }
    return std::max(0.0, 1.0 - found->second.idleTail / target);
}

double PressureModel::ownLoad(const Run &serving, Instant moment) const
{
    const auto found = this->loads.find(serving.attempt.task.job);
    return found == this->loads.end() ? unknownPressure : found->second.at(moment);
}

double PressureModel::expectedPressure(const Worker &worker, const Run &serving,
                                       Instant moment) const
{
    double expected = this->ownLoad(serving, moment);
    for (const auto &[attempt, run] : worker.runs) {
        if (run.fillCpuMilli > 0) {
            expected += this->coefficient(run.image, serving.image) * fullShare(worker, run);
        }
    }
    return expected;
}

double PressureModel::overRisk(const Run &serving, double pressure, Instant moment) const
{
    const auto image = this->images.find(serving.image);
    const auto load = this->loads.find(serving.attempt.task.job);
    double variance = image == this->images.end() ? Serving().variance : image->second.variance;
    variance += (load == this->loads.end() ? LoadTrend() : load->second).varianceAt(moment);
    const double deviations = (pressure - this->bound(serving)) / std::sqrt(variance);
    return std::erfc(-deviations / std::numbers::sqrt2) / 2.0;
}

double PressureModel::riskBeside(const Worker &worker, const std::string &fillImage, double share,
                                 Instant moment) const
{
    double risk = 0.0;
    for (const auto &[attempt, run] : worker.runs) {
        const double more = this->coefficient(fillImage, run.image) * share;
        if (run.tailTarget.count() > 0 && more > leastPressure) {
            const double expected = this->expectedPressure(worker, run, moment);
            risk += this->overRisk(run, expected + more, moment);
        }
    }
    return risk;
}

double PressureModel::addedPressure(const Worker &worker, const std::string &fillImage,
                                    double share) const
{
    double sum = 0.0;
    for (const auto &[attempt, run] : worker.runs) {
        if (run.tailTarget.count() > 0) {
            sum += this->coefficient(fillImage, run.image) * share;
        }
    }
    return sum;
}

void PressureModel::observe(const Worker &worker, Instant now)
{
    for (const auto &[attempt, run] : worker.runs) {
        if (run.tailTarget.count() > 0 && run.load > 0.0) {
            this->learn(worker, run, now);
        }
    }
    this->forgetOldLoads(now);
}

void PressureModel::forgetOldLoads(Instant now)
{
    std::erase_if(this->loads,
                  [now](const auto &each) { return now - each.second.newest() > loadKept; });
}

void PressureModel::learn(const Worker &worker, const Run &serving, Instant now)
{
    Serving &image = this->images[serving.image];
    if (image.idleTail <= 0.0 || serving.load < image.idleTail) {
        image.idleTail = serving.load;
    }
    std::map<std::string, double> shares;
    for (const auto &[attempt, run] : worker.runs) {
        if (run.fillCpuMilli > 0) {
            shares[run.image] += usedShare(worker, run);
        }
    }
    double fromFills = 0.0;
    double fillVariance = 0.0;
    for (const auto &[fill, share] : shares) {
        Coefficient &known = image.byFill[fill];
        known.variance += driftPerReport;
        fromFills += known.value * share;
        fillVariance += known.variance * share * share;
    }
    LoadTrend &load = this->loads[serving.attempt.task.job];
    const double pressure = this->pressure(serving);
    const double error = pressure - load.at(now) - fromFills;
    const double variance = reportVariance + load.varianceAt(now) + fillVariance;
    image.variance += varianceWeight * (error * error - image.variance);
    image.variance = std::max(image.variance, leastVariance);
    load.observe(pressure - fromFills, reportVariance + fillVariance, now);
    for (const auto &[fill, share] : shares) {
        if (share < leastShare) {
            continue;
        }
        Coefficient &known = image.byFill[fill];
        const double gain = known.variance * share / variance;
        known.value = std::clamp(known.value + gain * error, 0.0, largestCoefficient);
        known.variance *= 1.0 - gain * share;
    }
}

} // namespace bulrush

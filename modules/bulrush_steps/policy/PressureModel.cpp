#include "bulrush_steps/policy/PressureModel.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace bulrush {

namespace {

/** Variance of a report around the model: load swings by itself. */
constexpr double reportVariance = 0.03;

/** Coefficients drift: what was learned long ago counts less. */
constexpr double driftPerReport = 0.0005;

constexpr double largestCoefficient = 8.0;

/** The weight of the newest report in an image's usual pressure. */
constexpr double usualWeight = 0.01;

/** Even a model that fits well is not taken to be surer than this. */
constexpr double leastVariance = 0.01;

/** Shares below this say nothing of an image. */
constexpr double leastShare = 0.01;

} // namespace

double PressureModel::usedShare(const Worker &worker, const Run &fill)
{
    return fill.load
            / static_cast<double>(std::max<std::int64_t>(1, worker.entry.capacity.cpuMilli));
}

double PressureModel::fullShare(const Worker &worker, const Run &fill)
{
    const auto capacity =
            static_cast<double>(std::max<std::int64_t>(1, worker.entry.capacity.cpuMilli));
    return static_cast<double>(fill.fillCpuMilli) * fill.pacePercent / 100.0 / capacity;
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
    const Serving known = found == this->images.end() ? Serving() : found->second;
    if (serving.load <= 0.0 || known.idleTail <= 0.0) {
        return known.usualPressure;
    }
    return 1.0 - known.idleTail / std::max(known.idleTail, serving.load);
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

double PressureModel::ownPressure(const Worker &worker, const Run &serving) const
{
    double own = this->pressure(serving);
    for (const auto &[attempt, run] : worker.runs) {
        if (run.fillCpuMilli > 0) {
            own -= this->coefficient(run.image, serving.image) * usedShare(worker, run);
        }
    }
    return std::max(0.0, own);
}

double PressureModel::usualPressure(const Run &serving) const
{
    const auto found = this->images.find(serving.image);
    return found == this->images.end() ? Serving().usualPressure : found->second.usualPressure;
}

double PressureModel::expectedPressure(const Worker &worker, const Run &serving) const
{
    double expected = (this->ownPressure(worker, serving) + this->usualPressure(serving)) / 2.0;
    for (const auto &[attempt, run] : worker.runs) {
        if (run.fillCpuMilli > 0) {
            expected += this->coefficient(run.image, serving.image) * fullShare(worker, run);
        }
    }
    return expected;
}

double PressureModel::overRisk(const Run &serving, double pressure) const
{
    const auto found = this->images.find(serving.image);
    const double variance =
            found == this->images.end() ? Serving().variance : found->second.variance;
    const double deviations = (pressure - this->bound(serving)) / std::sqrt(variance);
    return std::erfc(-deviations / std::numbers::sqrt2) / 2.0;
}

double PressureModel::addedRisk(const Worker &worker, const std::string &fillImage,
                                double share) const
{
    double added = 0.0;
    for (const auto &[attempt, run] : worker.runs) {
        if (run.tailTarget.count() > 0) {
            const double expected = this->expectedPressure(worker, run);
            const double more = this->coefficient(fillImage, run.image) * share;
            added += this->overRisk(run, expected + more) - this->overRisk(run, expected);
        }
    }
    return added;
}

void PressureModel::observe(const Worker &worker)
{
    for (const auto &[attempt, run] : worker.runs) {
        if (run.tailTarget.count() > 0 && run.load > 0.0) {
            this->learn(worker, run);
        }
    }
}

void PressureModel::learn(const Worker &worker, const Run &serving)
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
    double predicted = image.usualPressure;
    double variance = reportVariance;
    for (const auto &[fill, share] : shares) {
        Coefficient &known = image.byFill[fill];
        known.variance += driftPerReport;
        predicted += known.value * share;
        variance += known.variance * share * share;
    }
    const double error = this->pressure(serving) - predicted;
    image.usualPressure += usualWeight * error;
    image.variance += usualWeight * (error * error - image.variance);
    image.variance = std::max(image.variance, leastVariance);
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

#include "bulrush_steps/policy/PressureModel.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace bulrush {

namespace {

/** Measurement variance of one report. */
constexpr double reportVariance = 0.005;

/** Process noise of a coefficient per report: coefficients drift, so older reports count less. */
constexpr double coefficientProcessNoise = 0.0005;

constexpr double maxCoefficient = 8.0;

/** The weight of the newest report in the moving variance of an image's reports. */
constexpr double varianceWeight = 0.01;

/** Lower limit of that variance, so that a model that fits well is not trusted too far. */
constexpr double minVariance = 0.0025;

/** A filling task that adds less pressure than this is treated as adding none. */
constexpr double negligiblePressure = 0.005;

/** The pressure that is assumed for serving tasks that have not reported. */
constexpr double defaultPressure = 0.45;

/** The load of a job is discarded when no task of it has reported for this long. */
constexpr milliseconds loadRetention { 30'000 };

/** Interval at which loads are checked for being discarded. */
constexpr milliseconds discardInterval { 1000 };

/** A report in which a filling image uses a smaller share does not change the image's coefficient,
    because it carries no information about it. */
constexpr double minShare = 0.01;

} // namespace

double PressureModel::usedShare(const Worker &worker, const Run &fill)
{
    return worker.shareOf(fill.load);
}

double PressureModel::fullShare(const Worker &worker, const Run &fill)
{
    return worker.shareOf(static_cast<double>(fill.fillCpuMilli) * fill.pacePercent / 100.0);
}

const PressureModel::Serving *PressureModel::findImage(const std::string &image) const
{
    const auto found = this->imageNumbers.find(image);
    return found == this->imageNumbers.end() ? nullptr : &this->images[found->second];
}

double PressureModel::coefficientOf(const Serving *serving, const std::string &fillImage)
{
    if (serving == nullptr) {
        return Coefficient().value;
    }
    const auto found = serving->byFill.find(fillImage);
    return found == serving->byFill.end() ? Coefficient().value : found->second.value;
}

double PressureModel::coefficient(const std::string &fillImage,
                                  const std::string &servingImage) const
{
    return coefficientOf(this->findImage(servingImage), fillImage);
}

double PressureModel::pressure(const Run &serving) const
{
    const Serving *image = this->findImage(serving.image);
    if (serving.load <= 0.0 || image == nullptr || image->idleTail <= 0.0) {
        return defaultPressure;
    }
    const double idle = image->idleTail;
    return 1.0 - idle / std::max(idle, serving.load);
}

double PressureModel::pressureAtTarget(const Run &serving) const
{
    return pressureAtTarget(this->findImage(serving.image), serving.tailTarget);
}

double PressureModel::pressureAtTarget(const Serving *image, milliseconds tailTarget)
{
    const auto target = static_cast<double>(tailTarget.count());
    if (image == nullptr || image->idleTail <= 0.0 || target <= 0.0) {
        return 1.0;
    }
    return std::max(0.0, 1.0 - image->idleTail / target);
}

std::vector<PressureModel::FillShare> PressureModel::fillShares(const Worker &worker,
                                                                ShareOfRun shareOf)
{
    std::vector<FillShare> shares;
    for (const auto &[attempt, run] : worker.runs) {
        if (run.fillCpuMilli == 0) {
            continue;
        }
        const std::string &image = run.image;
        const auto found =
                std::find_if(shares.begin(), shares.end(),
                             [&image](const FillShare &each) { return *each.image == image; });
        if (found == shares.end()) {
            shares.push_back({ &image, shareOf(worker, run) });
        } else {
            found->share += shareOf(worker, run);
        }
    }
    return shares;
}

double PressureModel::pressureOf(const Serving *serving, std::span<const FillShare> fills)
{
    double pressure = 0.0;
    for (const FillShare &fill : fills) {
        pressure += coefficientOf(serving, *fill.image) * fill.share;
    }
    return pressure;
}

const LoadTrend *PressureModel::loadOf(const Run &serving) const
{
    const auto found = this->loads.find(serving.attempt.task.job);
    return found == this->loads.end() ? nullptr : &found->second;
}

double PressureModel::expectedLoad(const LoadTrend *load, Instant moment)
{
    return load == nullptr ? defaultPressure : load->loadAt(moment);
}

double PressureModel::expectedPressure(const Worker &worker, const Run &serving,
                                       Instant moment) const
{
    return expectedLoad(this->loadOf(serving), moment)
            + pressureOf(this->findImage(serving.image), fillShares(worker, &fullShare));
}

std::vector<ServingPressure> PressureModel::servingPressures(const Worker &worker,
                                                             Instant moment) const
{
    std::vector<ServingPressure> list;
    const std::vector<FillShare> fills = fillShares(worker, &fullShare);
    for (const auto &[attempt, run] : worker.runs) {
        if (run.tailTarget.count() == 0) {
            continue;
        }
        const auto number = this->imageNumbers.find(run.image);
        const bool known = number != this->imageNumbers.end();
        const Serving *image = known ? &this->images[number->second] : nullptr;
        const LoadTrend *load = this->loadOf(run);
        const double imageVariance = known ? image->variance : Serving().variance;
        const double loadVariance = (load == nullptr ? LoadTrend() : *load).varianceAt(moment);
        ServingPressure serving;
        serving.image = known ? std::optional(number->second) : std::nullopt;
        serving.expected = expectedLoad(load, moment) + pressureOf(image, fills);
        serving.standardDeviation = std::sqrt(imageVariance + loadVariance);
        serving.atTarget = pressureAtTarget(image, run.tailTarget);
        list.push_back(serving);
    }
    return list;
}

std::vector<double> PressureModel::coefficientsOf(const std::string &fillImage) const
{
    std::vector<double> coefficients;
    coefficients.reserve(this->images.size());
    for (const Serving &serving : this->images) {
        coefficients.push_back(coefficientOf(&serving, fillImage));
    }
    return coefficients;
}

FillImpact PressureModel::impactOf(std::span<const ServingPressure> serving,
                                   std::span<const double> coefficients, double share)
{
    FillImpact impact;
    for (const ServingPressure &each : serving) {
        const double coefficient = each.image ? coefficients[*each.image] : Coefficient().value;
        const double added = coefficient * share;
        impact.addedPressure += added;
        if (added > negligiblePressure) {
            const double deviations =
                    (each.expected + added - each.atTarget) / each.standardDeviation;
            impact.overTarget += std::erfc(-deviations / std::numbers::sqrt2) / 2.0;
        }
    }
    return impact;
}

void PressureModel::observe(const Worker &worker, Instant now)
{
    const std::vector<FillShare> fills = fillShares(worker, &usedShare);
    for (const auto &[attempt, run] : worker.runs) {
        if (run.tailTarget.count() > 0 && run.load > 0.0) {
            this->learn(run, fills, now);
        }
    }
    if (now >= this->nextDiscard) {
        this->nextDiscard = now + discardInterval;
        this->discardStaleLoads(now);
    }
}

void PressureModel::discardStaleLoads(Instant now)
{
    std::erase_if(this->loads, [now](const auto &each) {
        return now - each.second.lastReadingAt() > loadRetention;
    });
}

void PressureModel::learn(const Run &serving, std::span<const FillShare> fills, Instant now)
{
    const auto [number, added] = this->imageNumbers.try_emplace(serving.image, this->images.size());
    if (added) {
        this->images.emplace_back();
    }
    Serving &image = this->images[number->second];
    if (image.idleTail <= 0.0 || serving.load < image.idleTail) {
        image.idleTail = serving.load;
    }
    double fillPressure = 0.0;
    double fillVariance = 0.0;
    for (const auto &[fill, share] : fills) {
        Coefficient &estimate = image.byFill[*fill];
        estimate.variance += coefficientProcessNoise;
        fillPressure += estimate.value * share;
        fillVariance += estimate.variance * share * share;
    }
    LoadTrend &load = this->loads[serving.attempt.task.job];
    const double pressure = this->pressure(serving);
    const double error = pressure - load.loadAt(now) - fillPressure;
    const double variance = reportVariance + load.varianceAt(now) + fillVariance;
    image.variance += varianceWeight * (error * error - image.variance);
    image.variance = std::max(image.variance, minVariance);
    load.observe(pressure - fillPressure, reportVariance + fillVariance, now);
    for (const auto &[fill, share] : fills) {
        if (share < minShare) {
            continue;
        }
        Coefficient &estimate = image.byFill[*fill];
        const double gain = estimate.variance * share / variance;
        estimate.value = std::clamp(estimate.value + gain * error, 0.0, maxCoefficient);
        estimate.variance *= 1.0 - gain * share;
    }
}

} // namespace bulrush

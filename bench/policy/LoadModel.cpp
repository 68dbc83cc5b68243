#include "LoadModel.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <numeric>
#include <string>

namespace bulrush::bench {

namespace {

constexpr std::array knownDeployments {
    Deployment { "kask-parn", 65, 11, { 0.6, 0.2, 0.2 } },
    Deployment { "nyumba-bora", 50, 8, { 0.2, 0.4, 0.4 } },
};

constexpr int otherServices = 5;
constexpr int classCount = 12;
constexpr int teamCount = 8;
constexpr double workerCpuMilli = 64'000;
constexpr double offeredLoad = 0.85; ///< as a fraction of the processors that the services leave
constexpr double serviceWaveSeconds = 1'200;
constexpr int noisyPeriodSeconds = 600;
constexpr int noisyLengthSeconds = 200;
constexpr double noisyRateFactor = 1.5;
constexpr double noisyFraction = 0.6;
constexpr double urgentFraction = 0.05;
constexpr double durationSigma = 0.8;
constexpr double shortestSeconds = 30;
constexpr double longestSeconds = 3'000;
constexpr double noiseSigma = 0.1;

constexpr std::array<std::string_view, 4> shapeNames { "steady", "noisy waves", "worker loss",
                                                       "withdrawal" };

} // namespace

std::string_view shapeName(Shape shape)
{
    return shapeNames[static_cast<std::size_t>(shape)];
}

std::span<const Deployment> deployments()
{
    return knownDeployments;
}

LoadModel::LoadModel(const Deployment &deployment, Shape shape, std::uint64_t seed)
    : shape(shape)
    , random(seed)
    , noise(seed + 1)
{
    this->makeServices(deployment);
    this->makeClasses();
    this->chooseRate(deployment);
}

std::vector<Arrival> LoadModel::arrivals(int second)
{
    const bool isWaveNow = this->isWave(second);
    const double rate = this->arrivalsPerSecond * (isWaveNow ? noisyRateFactor : 1.0);
    std::vector<Arrival> arrived;
    for (int count = this->poisson(rate); count > 0; --count) {
        arrived.push_back(this->makeArrival(this->pickClass(isWaveNow)));
    }
    return arrived;
}

double LoadModel::serviceLoad(std::size_t service, int second) const
{
    const double angle = 2 * std::numbers::pi * second / serviceWaveSeconds;
    return 0.7 + 0.3 * std::sin(angle + this->serviceList[service].phase);
}

double LoadModel::measurementNoise()
{
    std::normal_distribution<double> normal(0, noiseSigma);
    return std::exp(normal(this->noise));
}

void LoadModel::makeServices(const Deployment &deployment)
{
    const placement::Resources declared { 3'000, 10'000, 0 };
    for (int index = 0; index <= otherServices; ++index) {
        Service service;
        service.id = ServiceId("service-" + std::to_string(index));
        service.declared = declared;
        service.cpuRatio = this->uniform(0.5, 1.2);
        service.replicas = index == 0 ? deployment.workers : deployment.workers * 2 / 3;
        service.phase = this->uniform(0, 2 * std::numbers::pi);
        this->serviceList.push_back(service);
    }
}

void LoadModel::makeClasses()
{
    for (int index = 0; index < classCount; ++index) {
        BatchClass made;
        made.id = BatchClassId("class-" + std::to_string(index));
        made.declared = { static_cast<std::int64_t>(this->uniform(500, 4'000)),
                          static_cast<std::int64_t>(this->uniform(1'000, 12'000)), 0 };
        made.cpuRatio = std::clamp(this->lognormal(0.9, 0.5), 0.3, 3.0);
        made.memoryRatio = std::clamp(this->lognormal(0.8, 0.35), 0.3, 2.0);
        made.medianSeconds = this->uniform(150, 450);
        for (std::size_t service = 0; service < this->serviceList.size(); ++service) {
            const double kind = this->uniform(0, 1);
            const double mild = this->uniform(0, 0.3);
            const double marked = this->uniform(0.5, 2);
            const double severe = this->uniform(4, 10);
            made.harm.push_back(kind < 0.7 ? mild : kind < 0.9 ? marked : severe);
        }
        this->classList.push_back(made);
    }
    this->mostHarmful.resize(classCount);
    std::iota(this->mostHarmful.begin(), this->mostHarmful.end(), 0U);
    const auto total = [this](std::size_t index) {
        const auto &harm = this->classList[index].harm;
        return std::accumulate(harm.begin(), harm.end(), 0.0);
    };
    std::sort(this->mostHarmful.begin(), this->mostHarmful.end(),
              [&total](std::size_t left, std::size_t right) { return total(left) > total(right); });
    this->mostHarmful.resize(classCount / 4);
}

void LoadModel::chooseRate(const Deployment &deployment)
{
    double serviceCpu = 0;
    for (const Service &service : this->serviceList) {
        serviceCpu += static_cast<double>(service.declared.cpuMilli) * service.replicas;
    }
    double meanTaskCpu = 0;
    for (const BatchClass &made : this->classList) {
        const double meanSeconds = made.medianSeconds * std::exp(durationSigma * durationSigma / 2);
        meanTaskCpu += static_cast<double>(made.declared.cpuMilli) * meanSeconds;
    }
    meanTaskCpu /= static_cast<double>(this->classList.size());
    const double left = workerCpuMilli * deployment.workers - serviceCpu;
    this->arrivalsPerSecond = offeredLoad * left / meanTaskCpu;
}

bool LoadModel::isWave(int second) const
{
    return this->shape == Shape::NoisyWaves && second % noisyPeriodSeconds < noisyLengthSeconds;
}

std::size_t LoadModel::pickClass(bool isWaveNow)
{
    const bool isNoisy = this->uniform(0, 1) < noisyFraction;
    if (isWaveNow && isNoisy) {
        return this->mostHarmful[this->random() % this->mostHarmful.size()];
    }
    return this->random() % this->classList.size();
}

Arrival LoadModel::makeArrival(std::size_t batchClass)
{
    const BatchClass &kind = this->classList[batchClass];
    Arrival arrival;
    arrival.batchClass = batchClass;
    arrival.task.job = JobId("job-" + std::to_string(this->nextJob++));
    arrival.task.batchClass = kind.id;
    arrival.task.declared = kind.declared;
    arrival.task.team = TeamId("team-" + std::to_string(this->random() % teamCount));
    const bool isUrgent = this->uniform(0, 1) < urgentFraction;
    arrival.task.urgency = isUrgent ? placement::Urgency::Urgent : placement::Urgency::Ordinary;
    arrival.cpuMilli =
            static_cast<double>(kind.declared.cpuMilli) * kind.cpuRatio * this->lognormal(1, 0.15);
    arrival.memoryMb = static_cast<double>(kind.declared.memoryMb) * kind.memoryRatio
            * this->lognormal(1, 0.15);
    arrival.workSeconds = std::clamp(this->lognormal(kind.medianSeconds, durationSigma),
                                     shortestSeconds, longestSeconds);
    return arrival;
}

double LoadModel::uniform(double low, double high)
{
    return std::uniform_real_distribution<double>(low, high)(this->random);
}

double LoadModel::lognormal(double median, double sigma)
{
    return std::lognormal_distribution<double>(std::log(median), sigma)(this->random);
}

int LoadModel::poisson(double mean)
{
    return std::poisson_distribution<int>(mean)(this->random);
}

} // namespace bulrush::bench

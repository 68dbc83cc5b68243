#pragma once

#include "bulrush_core/time/Clock.h"
#include "bulrush_interference/weights/PolicyWeights.h"
#include "bulrush_placement/view/TaskView.h"

#include <array>
#include <cstdint>
#include <random>
#include <span>
#include <string_view>
#include <vector>

namespace bulrush::bench {

/** One user's workers and weights. */
struct Deployment
{
    std::string_view name;
    int workers = 0;
    int workersPerRack = 0;
    interference::PolicyWeights weights;
};

/** How the load and the workers behave over a run. */
enum class Shape : std::uint8_t { Steady, NoisyWaves, WorkerLoss, Withdrawal };

inline constexpr std::array allShapes { Shape::Steady, Shape::NoisyWaves, Shape::WorkerLoss,
                                        Shape::Withdrawal };

std::string_view shapeName(Shape shape);
std::span<const Deployment> deployments();

/** What is true of a batch class, unknown to the policy. */
struct BatchClass
{
    BatchClassId id;
    placement::Resources declared;
    double cpuRatio = 1; ///< used over declared
    double memoryRatio = 1; ///< used over declared
    double medianSeconds = 0;
    std::vector<double> harm; ///< added slowdown for each service at a whole worker's share
};

/** What is true of a service, unknown to the policy. */
struct Service
{
    ServiceId id;
    placement::Resources declared;
    double cpuRatio = 1;
    int replicas = 0;
    double phase = 0; ///< of its daily wave, in radians
};

/** One batch task that arrives. */
struct Arrival
{
    placement::TaskView task;
    std::size_t batchClass = 0;
    double cpuMilli = 0; ///< really used
    double memoryMb = 0; ///< really used
    double workSeconds = 0; ///< at full speed
};

/**
    The seeded load: which services and batch classes there are, how they disturb each other, and
    when tasks arrive. docs/design/policy-load.md gives the reasons for its values.
*/
class LoadModel
{
public:
    LoadModel(const Deployment &deployment, Shape shape, std::uint64_t seed);

    const std::vector<Service> &services() const { return this->serviceList; }
    const std::vector<BatchClass> &classes() const { return this->classList; }

    /** Returns the tasks that arrive within one second. */
    std::vector<Arrival> arrivals(int second);

    /** Returns the load of a service relative to its peak, without lost replicas. */
    double serviceLoad(std::size_t service, int second) const;

    /** Returns a factor of noise on a measurement. */
    double measurementNoise();

private:
    void makeServices(const Deployment &deployment);
    void makeClasses();
    void chooseRate(const Deployment &deployment);
    bool isWave(int second) const;
    std::size_t pickClass(bool isWaveNow);
    Arrival makeArrival(std::size_t batchClass);

    double uniform(double low, double high);
    double lognormal(double median, double sigma);
    int poisson(double mean);

    Shape shape;
    std::mt19937_64 random;
    std::mt19937_64 noise;
    std::vector<Service> serviceList;
    std::vector<BatchClass> classList;
    std::vector<std::size_t> noisiest;
    double arrivalsPerSecond = 0;
    std::uint64_t nextJob = 0;
};

} // namespace bulrush::bench

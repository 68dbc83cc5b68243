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

/** The number of workers and the policy weights of one user. */
struct Deployment
{
    std::string_view name;
    int workers = 0;
    int workersPerRack = 0;
    interference::PolicyWeights weights;
};

/** The load pattern and the faults of workers in a run. */
enum class Shape : std::uint8_t { Steady, NoisyWaves, WorkerLoss, Withdrawal };

inline constexpr std::array allShapes { Shape::Steady, Shape::NoisyWaves, Shape::WorkerLoss,
                                        Shape::Withdrawal };

std::string_view shapeName(Shape shape);
std::span<const Deployment> deployments();

/** The actual properties of a batch class, which the policy does not know. */
struct BatchClass
{
    BatchClassId id;
    placement::Resources declared;
    double cpuRatio = 1; ///< used over declared
    double memoryRatio = 1; ///< used over declared
    double medianSeconds = 0;
    std::vector<double> harm; ///< slowdown added to each service by a whole worker of the class
};

/** The actual properties of a service, which the policy does not know. */
struct Service
{
    ServiceId id;
    placement::Resources declared;
    double cpuRatio = 1;
    int replicas = 0;
    double phase = 0; ///< of its daily load wave, in radians
};

/** One batch task that arrives, and its actual resource use. */
struct Arrival
{
    placement::TaskView task;
    std::size_t batchClass = 0;
    double cpuMilli = 0; ///< actual use
    double memoryMb = 0; ///< actual use
    double workSeconds = 0; ///< at full speed
};

/**
    Generates a load from a seed: the services and batch classes, the interference between them, and
    the arrivals of tasks. docs/design/policy-load.md gives the reasons for its values.
*/
class LoadModel
{
public:
    LoadModel(const Deployment &deployment, Shape shape, std::uint64_t seed);

    const std::vector<Service> &services() const { return this->serviceList; }
    const std::vector<BatchClass> &classes() const { return this->classList; }

    /** Returns the tasks that arrive within one second. */
    std::vector<Arrival> arrivals(int second);

    /** Returns the load of a service relative to its peak, as if no replica were lost. */
    double serviceLoad(std::size_t service, int second) const;

    /** Returns a random factor that adds noise to a measurement. */
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
    std::vector<std::size_t> mostHarmful;
    double arrivalsPerSecond = 0;
    std::uint64_t nextJob = 0;
};

} // namespace bulrush::bench

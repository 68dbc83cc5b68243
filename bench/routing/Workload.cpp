#include "Workload.h"

#include <cmath>
#include <random>

namespace bulrush::bench {

namespace {

/** Standard deviation of the logarithm of the service time, which is log-normal. */
constexpr double sigma = 0.5;

constexpr double idempotentShare = 0.7;
constexpr double bulkShare = 0.2;

/** Returns the relative weight of each node in the traffic from the load balancer. */
std::vector<double> nodeWeights(const Case &benchCase)
{
    constexpr double busyNodeWeight = 3.0;
    constexpr double busyDataCentreWeight = 1.7;
    std::vector<double> weights(nodeCount, 1.0);
    for (std::size_t i = 0; i < nodeCount; ++i) {
        if (benchCase.unevenNodes && i < dataCentreCount) {
            weights[i] = busyNodeWeight;
        }
        if (benchCase.unevenDataCentres && dataCentreOf(i) == 0) {
            weights[i] = busyDataCentreWeight;
        }
    }
    return weights;
}

} // namespace

std::vector<Case> allCases()
{
    std::vector<Case> cases {
        { "load-50", 0.5 },
        { "load-80", 0.8 },
        { "load-95", 0.95 },
        { "load-120", 1.2 },
    };
    cases.push_back({ .name = "slow-executors", .load = 0.7, .slowExecutors = true });
    cases.push_back({ .name = "silent-connections", .silentConnections = true });
    cases.push_back({ .name = "node-loss", .nodeLoss = true });
    cases.push_back({ .name = "data-centre-cut", .dataCentreCut = true });
    cases.push_back({ .name = "uneven-nodes", .unevenNodes = true });
    cases.push_back({ .name = "uneven-centres", .unevenDataCentres = true });
    cases.push_back(
            { .name = "uneven-centres-cut", .dataCentreCut = true, .unevenDataCentres = true });
    return cases;
}

std::vector<Arrival> generateArrivals(const Case &benchCase, Duration length, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const double mean = std::chrono::duration<double>(meanService).count();
    const double slots = static_cast<double>(executorCount * slotsPerExecutor);
    std::exponential_distribution<double> gap(benchCase.load * slots / mean);
    std::lognormal_distribution<double> service(std::log(mean) - sigma * sigma / 2, sigma);
    std::vector<double> weights = nodeWeights(benchCase);
    std::discrete_distribution<std::size_t> node(weights.begin(), weights.end());
    std::uniform_real_distribution<double> share(0, 1);
    std::vector<Arrival> arrivals;
    Instant at { hours(1) };
    const Instant end = at + length;
    while (at < end) {
        at += duration_cast<Duration>(std::chrono::duration<double>(gap(random)));
        Arrival arrival { at, node(random), service(random), share(random) < idempotentShare,
                          routing::RequestClass::Interactive };
        if (share(random) < bulkShare) {
            arrival.requestClass = routing::RequestClass::Bulk;
        }
        arrivals.push_back(arrival);
    }
    return arrivals;
}

bool isSlow(const Case &benchCase, std::size_t executor)
{
    constexpr std::size_t slowPeriod = 20;
    return benchCase.slowExecutors && executor % slowPeriod == slowPeriod / 2;
}

} // namespace bulrush::bench

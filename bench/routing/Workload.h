#pragma once

#include "bulrush_routing/bulrush_routing.h"

#include <string>
#include <vector>

namespace bulrush::bench {

/** The sizes and times of the simulated system. */
constexpr std::size_t nodeCount = 9;
constexpr std::size_t executorCount = 65;
constexpr std::size_t dataCentreCount = 3;
constexpr unsigned slotsPerExecutor = 8;
constexpr unsigned connectionsPerExecutor = 65;
constexpr Duration meanService = milliseconds(20);
constexpr Duration deadlineAfter = milliseconds(300);
constexpr Duration lateAfter = milliseconds(100);
constexpr Duration oneWayInside = microseconds(100);
constexpr Duration oneWayBetween = microseconds(1000);
constexpr Duration warmUp = seconds(2);

/** Factor by which the service times of a slow executor are longer. */
constexpr double slowFactor = 5.0;

/** One case of the bench: the load as a share of all slots, and the injected faults. */
struct Case
{
    std::string name;
    double load = 0.8;
    bool slowExecutors = false;
    bool silentConnections = false;
    bool nodeLoss = false;
    bool dataCentreCut = false;
    /** Whether one node in each data centre gets three times the requests of the others. */
    bool unevenNodes = false;
    /** Whether one data centre gets more requests than it has slots for. */
    bool unevenDataCentres = false;
};

/** One request of a caller. All strategies get the same requests for a seed. */
struct Arrival
{
    Instant at;
    std::size_t node;
    double serviceSeconds;
    bool idempotent;
    routing::RequestClass requestClass;
};

/** Returns all cases of the bench. */
std::vector<Case> allCases();

/** Generates Poisson arrivals with log-normal service times. */
std::vector<Arrival> generateArrivals(const Case &benchCase, Duration length, std::uint64_t seed);

/** Returns whether an executor is one of the slow ones: 5 %, over all data centres. */
bool isSlow(const Case &benchCase, std::size_t executor);

/** Returns the data centre of a node or an executor. */
constexpr std::size_t dataCentreOf(std::size_t number)
{
    return number % dataCentreCount;
}

} // namespace bulrush::bench

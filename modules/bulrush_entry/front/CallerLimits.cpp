#include "bulrush_entry/front/CallerLimits.h"

#include <algorithm>
#include <utility>

namespace bulrush {

namespace {

constexpr std::size_t bytesPerMb = 1U << 20U;

/** The share of the machine's memory for callers' bodies. A quarter is for jobs that have not
    ended, which an owner holds twice. */
constexpr std::size_t bodyMemoryDivisor = 6;

/** The memory for bodies where the settings hold no limit of the machine's. */
constexpr std::size_t defaultBodyBudget = 256 * bytesPerMb;

/** On the smallest machine, a few bodies of the usual limit still fit. */
constexpr std::size_t minBodyBudget = 4 * bytesPerMb;

/** The share of the machine's memory for callers' connections. */
constexpr std::size_t connectionMemoryDivisor = 4;

/** What a connection takes at most: a table of headers, one read that is not processed yet, and
    what libwebsockets keeps of it. */
constexpr std::size_t connectionBytes = 52U << 10U;

constexpr std::size_t maxCallerConnections = 3000;
constexpr std::size_t minCallerConnections = 32;

/** The share of the descriptors for callers' connections; the others are for the store, the workers
    and other nodes. */
constexpr std::size_t descriptorDivisor = 2;

/** The largest body where the configuration has no limit. */
constexpr std::size_t defaultMaxBodyBytes = 1U << 20U;

/** Callers may reuse a connection until the idle time limit has passed, so it is closed later. */
constexpr milliseconds idleMargin { 5000 };

std::size_t connectionsFor(const EntrySettings &settings)
{
    std::size_t connections = maxCallerConnections;
    if (settings.memoryMb > 0) {
        const std::size_t memory = settings.memoryMb * bytesPerMb / connectionMemoryDivisor;
        connections = std::min(connections, memory / connectionBytes);
    }
    if (settings.maxDescriptors > 0) {
        connections = std::min(connections, settings.maxDescriptors / descriptorDivisor);
    }
    return std::max(connections, minCallerConnections);
}

} // namespace

HttpServer::Limits callerLimits(const EntrySettings &settings, std::vector<std::string> headerNames)
{
    HttpServer::Limits limits;
    limits.maxRequestBytes = defaultMaxBodyBytes;
    limits.maxConnections = connectionsFor(settings);
    limits.headerNames = std::move(headerNames);
    limits.bodyBudgetBytes = settings.memoryMb == 0
            ? defaultBodyBudget
            : std::max(settings.memoryMb * bytesPerMb / bodyMemoryDivisor, minBodyBudget);
    limits.requestsOutliveClients = true;
    return limits;
}

std::size_t maxBodyBytes(const ServingConfig &config)
{
    return config.maxBodyBytes == 0 ? defaultMaxBodyBytes : config.maxBodyBytes;
}

ConnectionTimes connectionTimes(const ServingConfig &config)
{
    ConnectionTimes times;
    if (config.headerTimeout.count() > 0) {
        times.header = config.headerTimeout;
    }
    if (config.idleTimeout.count() > 0) {
        times.idle = config.idleTimeout + idleMargin;
    }
    return times;
}

} // namespace bulrush

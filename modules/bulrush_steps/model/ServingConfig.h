#pragma once

#include "bulrush_core/ids/Id.h"
#include "bulrush_core/time/Clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush {

/** A queue through which callers submit jobs. */
struct QueuePolicy
{
    std::string name;
    std::string host;
    std::string prefix;
    ServiceId service;
    std::uint32_t priority = 0;
    std::uint32_t maxAttempts = 1;
    double slackFactor = 1.0;
    milliseconds latencyTarget { 0 };
    milliseconds timeout { 0 };
};

/** A pool of workers that runs the tasks of queues. */
struct PoolPolicy
{
    ServiceId service;
    /** Whether workers refuse tasks that exceed their free capacity. Otherwise they start every
        task for which they receive a start request. */
    bool enforcesCapacity = false;
    /** Whether the pool's VMs are switched off. */
    bool standby = false;
    /** How long its workers stay slow after a start. */
    milliseconds coldDuration { 0 };
    /** How many starts a second a cold worker can take; 0 when there is no limit. */
    double coldStartsPerSecond = 0.0;
};

/** The operators' complete configuration. */
struct ServingConfig
{
    std::uint64_t version = 0;
    std::vector<QueuePolicy> queues;
    std::vector<PoolPolicy> pools;
    /** Limits of callers' requests; 0 where the configuration has none. */
    std::size_t maxBodyBytes = 0;
    milliseconds headerTimeout { 0 };
    milliseconds idleTimeout { 0 };

    /** Returns the queue of a host with the longest prefix that matches a path, or null. */
    const QueuePolicy *queueFor(std::string_view host, std::string_view path) const;

    /** Returns the queue with the given name, or null. */
    const QueuePolicy *queue(std::string_view name) const;

    /** Returns the pool of a service, or null. */
    const PoolPolicy *pool(const ServiceId &service) const;
};

} // namespace bulrush

#pragma once

#include "bulrush_core/ids/Id.h"
#include "bulrush_core/time/Clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush {

/** A queue that callers hand jobs in by. */
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

/** A pool of workers that queues send their tasks to. */
struct PoolPolicy
{
    ServiceId service;
    /** Workers refuse what does not fit; else they start whatever they are told to. */
    bool guarded = false;
    /** The pool's VMs are off. */
    bool standby = false;
};

/** The operators' configuration, whole. */
struct ServingConfig
{
    std::uint64_t version = 0;
    std::vector<QueuePolicy> queues;
    std::vector<PoolPolicy> pools;
    std::size_t maxBodyBytes = 0;

    /** Returns the queue with the longest prefix that a host's path begins with, or null. */
    const QueuePolicy *queueFor(std::string_view host, std::string_view path) const;

    /** Returns the queue of a name, or null. */
    const QueuePolicy *queue(std::string_view name) const;
};

} // namespace bulrush

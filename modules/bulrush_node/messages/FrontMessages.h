#pragma once

#include "bulrush_core/bulrush_core.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace bulrush {

/** Identifies a caller's request on this node, in both tasks. */
using ArrivalId = std::uint64_t;

/** The part of a target that the front task needs. */
struct FrontTarget
{
    TargetId target;
    DataCentreId dataCentre;
    Endpoint endpoint;
    unsigned slots = 8;

    bool operator==(const FrontTarget &) const = default;
};

/** The part of a service that the front task needs. */
struct FrontService
{
    Duration deadline = seconds(2);
    std::vector<FrontTarget> targets;

    bool operator==(const FrontService &) const = default;
};

/** The records in force and the state of other nodes, as far as the front task needs them. */
struct FrontConfiguration
{
    std::map<ServiceId, FrontService> services;
    std::set<TargetId> leavingByRecord;
    std::set<TargetId> leavingByPlatform;
    std::set<DataCentreId> unreachable;
    unsigned nodes = 1;

    bool operator==(const FrontConfiguration &) const = default;
};

/** The result of claiming an idempotency key. */
enum class KeyDecision : std::uint8_t {
    /** This arrival holds the key and may send its request once. */
    MaySend,
    /** Whether the key is free could not be determined in time; nothing was sent. */
    NotRun,
    /** Another arrival holds the key, and its outcome is not recorded. */
    Unknown,
    /** Another arrival with this key has been answered. */
    Duplicate,
    /** The key is malformed, expired or issued in the future. */
    Malformed,
};

/** The control task's answer to KeyClaim. */
struct KeyClaimResult
{
    ArrivalId arrival = 0;
    KeyDecision decision = KeyDecision::NotRun;
    /** The HTTP status of the first answer; set for Duplicate only. */
    int status = 0;
    std::string reason;
};

/**
    Requests a drain. Readiness is withdrawn at once. New requests are refused once the load
    balancer has had time to notice, and requests in flight are completed.
*/
struct DrainFront
{
    Duration bound {}; ///< maximum duration of the drain
};

/** A message to the front task. */
using FrontMessage = std::variant<FrontConfiguration, KeyClaimResult, DrainFront>;

/** Requests the right to send under an idempotency key. */
struct KeyClaim
{
    ArrivalId arrival = 0;
    std::string key;
    /** Whether the caller declares that it has not sent this key before. */
    bool firstTry = false;
};

/** Reports the outcome of an arrival with an idempotency key. */
struct KeyedRequestEnd
{
    enum class Outcome : std::uint8_t { NotSent, Answered, Unknown };

    ArrivalId arrival = 0;
    std::string key;
    Outcome outcome = Outcome::NotSent;
    int status = 0;
};

/** Reports that all requests have ended or that the drain bound has passed. */
struct FrontDrained
{
    std::size_t unfinished = 0;
};

/** A message to the control task. */
using FrontReport = std::variant<KeyClaim, KeyedRequestEnd, FrontDrained>;

} // namespace bulrush

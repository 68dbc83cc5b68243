#pragma once

#include "bulrush_core/bulrush_core.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace bulrush {

/** Names one caller's request on this node, in both tasks. */
using ArrivalId = std::uint64_t;

/** One target of a service, as the front task needs it. */
struct FrontTarget
{
    TargetId target;
    DataCentreId dataCentre;
    Endpoint endpoint;
    unsigned slots = 8;

    bool operator==(const FrontTarget &) const = default;
};

/** One service, as the front task needs it. */
struct FrontService
{
    Duration deadline = seconds(2);
    std::vector<FrontTarget> targets;

    bool operator==(const FrontService &) const = default;
};

/** All that the front task needs of the records in force and of the nodes around. */
struct FrontConfiguration
{
    std::map<ServiceId, FrontService> services;
    std::set<TargetId> leavingByRecord;
    std::set<TargetId> leavingByPlatform;
    std::set<DataCentreId> unreachable;
    unsigned nodes = 1;

    bool operator==(const FrontConfiguration &) const = default;
};

/** What became of an idempotency key's claim. */
enum class KeyDecision : std::uint8_t {
    /** This arrival holds the key: it may send, once. */
    MaySend,
    /** It cannot be known in time whether the key is free; nothing was sent. */
    NotRun,
    /** Another arrival holds the key and its outcome is not on record. */
    Unknown,
    /** Another arrival with this key was answered. */
    Duplicate,
    /** The key is malformed, too old or from the future. */
    Malformed,
};

/** The control task's answer to KeyClaim. */
struct KeyClaimResult
{
    ArrivalId arrival = 0;
    KeyDecision decision = KeyDecision::NotRun;
    /** The first answer's status, for Duplicate. */
    int status = 0;
    std::string reason;
};

/** Take no new requests after the balancer had time to notice, then finish. */
struct DrainFront
{
    Duration bound {};
};

/** What the front task is sent. */
using FrontMessage = std::variant<FrontConfiguration, KeyClaimResult, DrainFront>;

/** Asks whether an arrival may send under an idempotency key. */
struct KeyClaim
{
    ArrivalId arrival = 0;
    std::string key;
    /** Whether the caller says that it never sent this key before. */
    bool firstTry = false;
};

/** Says how an arrival that holds a key ended. */
struct KeyedRequestEnd
{
    enum class Outcome : std::uint8_t { NotSent, Answered, Unknown };

    ArrivalId arrival = 0;
    std::string key;
    Outcome outcome = Outcome::NotSent;
    int status = 0;
};

/** All requests ended, or the drain bound passed. */
struct FrontDrained
{
    std::size_t unfinished = 0;
};

/** What the front task tells the control task. */
using FrontReport = std::variant<KeyClaim, KeyedRequestEnd, FrontDrained>;

} // namespace bulrush

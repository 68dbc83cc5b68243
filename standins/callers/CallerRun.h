#pragma once

#include "standins/callers/Balancer.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace bulrush::standins {

/** How callers behave. */
struct CallerSettings
{
    std::string service;
    int requests = 200;
    int parallel = 8;
    int deadlineMs = 2000;
    /** How long a target works on a request. */
    int workMs = 20;
    /** Pause of each caller between two requests. */
    int pauseMs = 0;
    /** Whether each request is not idempotent and carries a key. */
    bool keyed = false;
};

/** What callers saw. */
struct CallerCounts
{
    int answered = 0;
    int duplicate = 0;
    int unknown = 0;
    int givenUp = 0;
    /** Answers that belong to another request or are not whole. */
    int wrong = 0;
    int tries = 0;
    double slowestMs = 0;
};

/** A number of callers in parallel, each with one request at a time, behind a balancer. */
class CallerRun
{
public:
    /** What a caller last heard of a key. */
    enum class KeyOutcome { Answered, NotRun, Unknown };

    CallerRun(CallerSettings settings, Balancer &balancer);

    CallerRun(const CallerRun &) = delete;
    CallerRun &operator=(const CallerRun &) = delete;

    /** Runs all requests to their end. */
    CallerCounts run();

    /** Returns what was last heard of each key. */
    const std::map<std::string, KeyOutcome> &keys() const { return this->keyOutcomes; }

private:
    struct Request;

    void call(int number);
    bool tryOnce(const Request &request, bool first);
    void note(const Request &request, KeyOutcome outcome, int CallerCounts::*counter);

    const CallerSettings settings;
    Balancer &balancer;
    std::mutex mutex;
    CallerCounts counts;
    std::map<std::string, KeyOutcome> keyOutcomes;
};

} // namespace bulrush::standins

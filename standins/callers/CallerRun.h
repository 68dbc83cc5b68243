#pragma once

#include "standins/callers/Balancer.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace bulrush::standins {

/** Load and request settings of the callers. */
struct CallerSettings
{
    std::string service;
    int requests = 200;
    int parallel = 8;
    int deadlineMs = 2000;
    /** Processing time of a request on the target. */
    int workMs = 20;
    /** Pause of each caller between two requests, in milliseconds. */
    int pauseMs = 0;
    /** Whether requests are not idempotent and carry an idempotency key. */
    bool keyed = false;
};

/** Counts of the outcomes that callers saw. */
struct CallerCounts
{
    int answered = 0;
    int duplicate = 0;
    int unknown = 0;
    int givenUp = 0;
    /** Answers that belong to another request or are incomplete. */
    int wrong = 0;
    int tries = 0;
    double slowestMs = 0;
};

/** Runs callers in parallel behind a balancer, each with one request at a time. */
class CallerRun
{
public:
    /** The latest outcome of a key that a caller knows. */
    enum class KeyOutcome { Answered, NotRun, Unknown };

    CallerRun(CallerSettings settings, Balancer &balancer);

    CallerRun(const CallerRun &) = delete;
    CallerRun &operator=(const CallerRun &) = delete;

    /** Runs all requests and waits until they have ended. */
    CallerCounts run();

    /** Returns the latest known outcome of each key. */
    const std::map<std::string, KeyOutcome> &keys() const { return this->keyOutcomes; }

private:
    struct Request;

    void call(int number);
    bool tryOnce(const Request &request, bool isFirstTry);
    void recordOutcome(const Request &request, KeyOutcome outcome, int CallerCounts::*counter);

    const CallerSettings settings;
    Balancer &balancer;
    std::mutex mutex;
    CallerCounts counts;
    std::map<std::string, KeyOutcome> keyOutcomes;
};

} // namespace bulrush::standins

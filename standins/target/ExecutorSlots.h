#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace bulrush::standins {

/** The request slots of an executor and its execution counts. Not safe for concurrent use. */
class ExecutorSlots
{
public:
    explicit ExecutorSlots(int slots);

    ExecutorSlots(const ExecutorSlots &) = delete;
    ExecutorSlots &operator=(const ExecutorSlots &) = delete;

    /**
        Acquires a slot and counts the execution. Refuses the request, and counts the refusal, when
        all slots are busy or the executor is leaving.

        @param idempotencyKey empty when the request has none
        @returns the number of this execution among those of the key, or among all requests without
                 a key; 0 when refused
    */
    std::uint64_t tryAcquire(const std::string &idempotencyKey);

    /** Releases a slot. */
    void release();

    /** While on, all requests are refused. */
    void setLeaving(bool on) { this->leaving = on; }

    bool isLeaving() const { return this->leaving; }
    int busy() const { return this->busySlots; }
    /** Returns the value of the load header: busy slots and all slots. */
    std::string load() const;
    /** Returns the number of completed requests. */
    std::uint64_t served() const { return this->servedCount; }
    std::uint64_t refused() const { return this->refusedCount; }
    /** Returns how often each idempotency key was executed. */
    const std::map<std::string, std::uint64_t> &executions() const { return this->executionsByKey; }

private:
    const int slots;
    int busySlots = 0;
    bool leaving = false;
    std::uint64_t servedCount = 0;
    std::uint64_t refusedCount = 0;
    std::uint64_t executionsWithoutKey = 0;
    std::map<std::string, std::uint64_t> executionsByKey;
};

} // namespace bulrush::standins

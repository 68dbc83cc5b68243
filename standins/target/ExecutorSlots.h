#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace bulrush::standins {

/** The request slots of an executor and the books of what it ran. Not safe for concurrent use. */
class ExecutorSlots
{
public:
    explicit ExecutorSlots(int slots);

    ExecutorSlots(const ExecutorSlots &) = delete;
    ExecutorSlots &operator=(const ExecutorSlots &) = delete;

    /**
        Takes a slot and counts the execution. Refuses, and counts that, when all slots are busy or
        the executor is leaving.

        @param idempotencyKey empty when the request has none
        @returns which execution this is: of the key, or of all requests without one; 0 when refused
    */
    std::uint64_t tryBegin(const std::string &idempotencyKey);

    /** Gives a slot back. */
    void end();

    /** While on, no request is begun. */
    void setLeaving(bool on) { this->leaving = on; }

    bool isLeaving() const { return this->leaving; }
    int busy() const { return this->busySlots; }
    /** Returns the value of the load header: busy slots and all slots. */
    std::string load() const;
    /** Returns the number of requests that ended. */
    std::uint64_t served() const { return this->servedCount; }
    std::uint64_t refused() const { return this->refusedCount; }
    /** Returns how often each idempotency key was executed. */
    const std::map<std::string, std::uint64_t> &executions() const { return this->perKey; }

private:
    const int slots;
    int busySlots = 0;
    bool leaving = false;
    std::uint64_t servedCount = 0;
    std::uint64_t refusedCount = 0;
    std::uint64_t withoutKey = 0;
    std::map<std::string, std::uint64_t> perKey;
};

} // namespace bulrush::standins

#pragma once

#include "bulrush_config/bulrush_config.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace bulrush::bench {

/** The number of records of each kind per day. */
struct DayRates
{
    int changes = 2'400;
    int jobs = 0;
};

/** Generates a configuration stream as operators and owners would write it. */
class Workload
{
public:
    explicit Workload(std::uint32_t seed)
        : random(seed)
    {
    }

    /** Appends the initial records of all services, target lists, quotas and policies. */
    void appendInitialRecords();

    /** Appends the changes, job starts and job ends of a number of hours, interleaved. */
    void appendHours(const DayRates &rates, int hours);

    const std::vector<std::string> &log() const { return this->entries; }
    const RecordState &state() const { return this->recordState; }

private:
    void append(const Record &record);
    void appendChange();
    void appendJobStart();
    void appendJobEnd();
    Record makeRecord(RecordKind kind, const std::string &name);

    std::mt19937 random;
    std::vector<std::string> entries;
    RecordState recordState;
    std::vector<std::string> runningJobs;
    int nextId = 0;
};

} // namespace bulrush::bench

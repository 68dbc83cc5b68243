#pragma once

#include "bulrush_config/bulrush_config.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace bulrush::bench {

/** How many records of each kind a day brings. */
struct DayRates
{
    int changes = 2'400;
    int jobs = 0;
};

/** Makes a log of the configuration stream as operators and owners would write it. */
class Workload
{
public:
    explicit Workload(std::uint32_t seed)
        : random(seed)
    {
    }

    /** Appends the first record of every name: services, quotas, policies and target lists. */
    void appendNames();

    /** Appends some hours of changes, job starts and job ends, interleaved. */
    void appendHours(const DayRates &rates, int hours);

    const std::vector<std::string> &log() const { return this->entries; }
    const RecordState &state() const { return this->folded; }

private:
    void append(const Record &record);
    void changeOne();
    void startJob();
    void endJob();
    Record named(RecordKind kind, const std::string &name);

    std::mt19937 random;
    std::vector<std::string> entries;
    RecordState folded;
    std::vector<std::string> runningJobs;
    int nextId = 0;
};

} // namespace bulrush::bench

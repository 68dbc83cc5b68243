#pragma once

#include "bulrush_interference/bulrush_interference.h"
#include "bulrush_placement/bulrush_placement.h"
#include "bulrush_scenario/bulrush_scenario.h"

#include <map>
#include <string>

/** The system under test of a placement scenario.

    Keeps its own list of commitments, against which it checks those of the worker table.
*/
class PlacementWorld
{
public:
    /** Binds the verbs of the scenarios to the handlers of this world. */
    void bind(bulrush::scenario::Interpreter &interpreter);

private:
    using Step = bulrush::scenario::Step;

    void addWorker(const Step &step);
    void commit(const Step &step);
    void release(const Step &step);
    void mark(const Step &step);
    void reserve(const Step &step);
    void checkFeasible(const Step &step);
    void setQuota(const Step &step);
    void submit(const Step &step);
    void start(const Step &step);
    void end(const Step &step);
    void recordOutcome(const Step &step);
    void checkEvidence(const Step &step);
    void checkLadder(const Step &step);
    void place(const Step &step);
    void requireNoOverCommitment(const Step &step) const;

    bulrush::placement::TaskView taskOf(const Step &step) const;
    bulrush::placement::WorkerSlot slotOf(const Step &step, const std::string &name) const;

    struct Commitment
    {
        std::string worker;
        bulrush::placement::TaskView task;
    };

    bulrush::Instant now {};
    std::mt19937_64 random { 7 };
    bulrush::placement::WorkerTable table;
    bulrush::placement::UsageModel usage;
    bulrush::placement::QuotaTable quotas;
    bulrush::placement::ReadyQueue queue;
    bulrush::interference::PairEstimates pairs;
    bulrush::interference::FailureEvidence evidence;
    bulrush::interference::Ladder ladder { {} };
    std::map<std::string, Commitment> commitments; ///< by job, independent of the table
    std::map<std::string, bulrush::placement::Resources> capacities;
    std::map<std::string, bulrush::placement::TaskView> started;
};

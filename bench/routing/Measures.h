#pragma once

#include "Workload.h"

#include <nlohmann/json.hpp>

namespace bulrush::bench {

/** The measurements of one run of one strategy, without the warm-up. */
struct Measures
{
    std::string strategy;
    /** Times to the complete answer, in milliseconds. */
    std::vector<double> answerTimes;
    /** Times to a refusal, in milliseconds. */
    std::vector<double> refusalTimes;
    std::uint64_t arrived = 0;
    std::uint64_t late = 0;
    std::uint64_t notRun = 0;
    std::uint64_t interactiveNotRun = 0;
    std::uint64_t unknown = 0;
    /** Requests without an outcome, such as those on a lost node. */
    std::uint64_t lost = 0;
    std::uint64_t secondSends = 0;
    std::uint64_t requestsSeen = 0;
    double goodputShare = 0;

    /** Records the outcome of a request and the time it took. */
    void record(routing::Outcome outcome, routing::RequestClass requestClass, Duration taken);

    /** Records requests without an outcome. */
    void recordLost(std::uint64_t count);

    /** Sorts the times and computes the share of the capacity that was answered in time. */
    void finalise(Duration measured);

    /** Returns a quantile of sorted times; 0 if there are no times. */
    static double quantile(const std::vector<double> &sorted, double share);

    nlohmann::json toJson() const;

    static void printHeader();
    void print(const std::string &caseName) const;
};

} // namespace bulrush::bench

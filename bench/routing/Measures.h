#pragma once

#include "Workload.h"

#include <nlohmann/json.hpp>

namespace bulrush::bench {

/** What one run of one strategy showed, warm-up left out. */
struct Measures
{
    std::string strategy;
    /** Time to the whole answer, in milliseconds. */
    std::vector<double> answerTimes;
    /** Time to a refusal, in milliseconds. */
    std::vector<double> refusalTimes;
    std::uint64_t arrived = 0;
    std::uint64_t late = 0;
    std::uint64_t notRun = 0;
    std::uint64_t interactiveNotRun = 0;
    std::uint64_t unknown = 0;
    /** Requests that never got an outcome, such as those of a node that was lost. */
    std::uint64_t lost = 0;
    std::uint64_t secondSends = 0;
    std::uint64_t requestsSeen = 0;
    double goodputShare = 0;

    /** Notes how a request ended. */
    void note(routing::Outcome outcome, routing::RequestClass requestClass, Duration taken);

    /** Notes requests that got no outcome. */
    void noteLost(std::uint64_t count);

    /** Sorts the times and works out the share of capacity that was answered in time. */
    void close(Duration measured);

    /** Returns a quantile of sorted times; 0 when there is none. */
    static double quantile(const std::vector<double> &sorted, double share);

    nlohmann::json toJson() const;

    static void printHeader();
    void print(const std::string &caseName) const;
};

} // namespace bulrush::bench

#pragma once

#include "DecisionTime.h"
#include "LoadModel.h"
#include "PolicyRun.h"
#include "Variant.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bulrush::bench {

/** The runs of one variant on one deployment and shape, one for each seed. */
struct Series
{
    const Deployment *deployment = nullptr;
    Shape shape = Shape::Steady;
    const Variant *variant = nullptr;
    std::vector<std::uint64_t> seeds;
    std::vector<RunResult> results;
};

/** Prints one table for each deployment and shape: medians, and the quartiles of the late share. */
void printTables(const std::vector<Series> &all);

/** Prints the decision times. */
void printDecisionTimes(const std::vector<DecisionTime> &times);

/** Writes every run with its seed as JSON. @throws Error when the file cannot be written */
void writeJson(const std::string &path, const std::vector<Series> &all,
               const std::vector<DecisionTime> &times);

} // namespace bulrush::bench

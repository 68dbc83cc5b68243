#pragma once

#include "Deployment.h"

#include <functional>
#include <string>

namespace review {

/** Exit statuses of a case. */
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

/** Runs a case: writes its verdict to the record and returns its exit status. */
int runCase(int argc, char **argv,
            const std::function<int(Record &record, const std::string &folder, bool trouble)> &run);

/** Returns whether two runs of a task ran at the same time, or one began after the end of another
    that was done and taken note of. Writes what it finds to the record. */
bool ranTwice(Record &record, const RunBook &book, const std::string &task);

} // namespace review

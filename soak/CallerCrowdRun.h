#pragma once

#include "soak/CallerCrowd.h"
#include "soak/InvariantChecker.h"
#include "soak/NodeProcess.h"
#include "soak/StoreServer.h"
#include "soak/WorkerServer.h"

#include <cstddef>
#include <string>
#include <vector>

namespace bulrush::soak {

/** One kind of crowd. */
struct CrowdCase
{
    std::string name;
    std::size_t clients = 0;
    CrowdUpload upload {};
    /** How long the store takes for an answer, so that whole bodies are held meanwhile. */
    int storeDelayMs = 0;
};

/** Returns the kinds of crowds. */
std::vector<CrowdCase> crowdCases();

/**
    Plays a crowd of callers that keep to no limit against one real daemon with a small machine, and
    checks that the daemon's process lives, that its memory and its open descriptors stay within
    the limits of its settings file, and that it accepts an ordinary job while the crowd's
    connections are still open.
*/
class CallerCrowdRun
{
public:
    CallerCrowdRun(const std::string &daemon, const std::string &folder);

    /** Plays a crowd. @returns a description of each failed check */
    std::vector<std::string> run(const CrowdCase &crowd);

    /** Returns what was measured of the daemon. */
    std::string figures() const;

private:
    /** Notes the present memory and descriptors of the daemon. */
    void measure();

    /** Submits an ordinary job until it is accepted, for a time at most. */
    bool jobIsAccepted();
    void check(bool holds, const std::string &failure);

    InvariantChecker checker;
    StoreServer store;
    WorkerServer worker;
    const std::string folder;
    const std::string daemon;
    std::size_t peakMemoryKb = 0;
    std::size_t residentKb = 0;
    std::size_t mostDescriptors = 0;
    std::size_t closedConnections = 0;
    std::size_t attempts = 0;
    pid_t process = 0;
    std::string nodeAddress;
    int nodePort = 0;
    std::vector<std::string> failures;
};

} // namespace bulrush::soak

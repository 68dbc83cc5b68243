#pragma once

#include "soak/InvariantChecker.h"
#include "soak/NodeProcess.h"
#include "soak/OddRecords.h"
#include "soak/OddWorkerServer.h"
#include "soak/StoreServer.h"
#include "soak/WorkerServer.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace bulrush::soak {

/**
    Puts malformed records of other writers beside good ones while daemons run, and checks that no
    daemon ends by itself, that jobs are completed, and that no worker with a malformed entry is
    asked to start a task.
*/
class OddRecordsRun
{
public:
    OddRecordsRun(const std::string &daemon, std::string folder);

    /** Returns a description of each failed check. */
    std::vector<std::string> run();

private:
    void addWorker(const std::string &name);

    /** Puts records, waits until they are read, and checks the daemons and a job. */
    void play(const OddGroup &group);
    void playEntryUnderAGoodKey();
    void playReports();
    void playSubmissions();
    void playTimeLimits();
    void playSettings();
    void playNewWorkers();
    void restartNodes();

    /** Checks that the daemons run, and starts those that have ended again. */
    void checkProcesses(const std::string &what);
    void checkStarts();

    /** Submits a job and waits until it is completed. @returns whether it was */
    bool serveJob();
    void checkJob(const std::string &what);

    /** Submits a body to a daemon. @returns the status, 0 without an answer */
    int submit(const std::string &job, const std::string &body, const std::string &timeLimit);
    std::string stateOf(const std::string &job);
    std::string nextJob();
    void fail(const std::string &what, const std::string &reason);

    const std::string folder;
    InvariantChecker checker;
    StoreServer store;
    OddWorkerServer oddWorkers;
    OddWorkerServer oddReporter;
    std::vector<std::unique_ptr<WorkerServer>> workers;
    std::vector<std::unique_ptr<NodeProcess>> nodes;
    std::vector<std::string> failures;
    std::uint64_t jobs = 0;
};

} // namespace bulrush::soak

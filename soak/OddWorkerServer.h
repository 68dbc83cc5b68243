#pragma once

#include "standins/common/LoopbackServer.h"

#include <mutex>
#include <set>
#include <string>

namespace bulrush::soak {

/**
    A server that answers as whichever worker is asked for, with a report that a test sets. It
    rejects every start and remembers for which worker it was meant.
*/
class OddWorkerServer
{
public:
    OddWorkerServer();
    ~OddWorkerServer();

    OddWorkerServer(const OddWorkerServer &) = delete;
    OddWorkerServer &operator=(const OddWorkerServer &) = delete;

    int port() const { return this->portNumber; }

    /** Sets the answer to hold requests. */
    void setReport(std::string body, int status = 200);

    /** Returns the names of the workers that were asked to start a task. */
    std::set<std::string> startedWorkers();

private:
    std::mutex mutex;
    std::string report;
    int reportStatus = 200;
    std::set<std::string> started;
    standins::LoopbackServer server;
    int portNumber = 0;
};

} // namespace bulrush::soak

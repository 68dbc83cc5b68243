#pragma once

#include "review/standins-3/FleetWorker.h"

#include <sys/types.h>

#include <memory>
#include <string>
#include <vector>

namespace bulrush::review {

/** The settings of a case, from its command line and environment. */
struct CaseSettings
{
    std::string daemon;
    std::string folder;
    std::string recordPath;
    /** Whether the disruption is played. */
    bool trouble = true;
};

/** Reads `DAEMON FOLDER RECORD` and the variable TROUBLE. */
CaseSettings caseSettings(int argc, char **argv);

/** A small deployment: the store, three nodes in three zones, and executors. */
class Deployment
{
public:
    Deployment(const CaseSettings &caseSettings, Record &caseRecord);
    ~Deployment();

    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    FleetWorker &addWorker(const std::string &kind, const FleetWorker::BegunHandler &begun);

    /** Starts the nodes and waits until all say that they are ready.
        @returns whether they did within 20 s */
    bool startNodes();

    /** Hands a submission in until it is accepted, at most 20 times. */
    bool submit(const std::string &submission, const nlohmann::json &body);

    /** Returns the state that a node shows; empty when it shows none. */
    std::string stateOf(const std::string &submission, std::size_t node);

    /** Returns how many tasks of a submission are at work on all executors. */
    int tasksAtWork(const std::string &submission);

    /** Returns whether a node's process has ended. */
    bool anyNodeEnded();

    soak::StoreServer store;
    std::vector<std::unique_ptr<FleetWorker>> workers;

private:
    struct Node
    {
        std::string ip;
        std::string settingsPath;
        pid_t process = 0;
        bool ended = false;
    };

    /** Answers with the list of machines: those that run an executor have its id. */
    void listMachines(httplib::Response &answer);
    void writeSettings(const Node &node, const std::string &zone) const;
    void startNode(Node &node) const;

    const CaseSettings settings;
    Record &record;
    int storePort = 0;
    standins::LoopbackServer machineList;
    int machineListPort = 0;
    std::vector<Node> nodes;
};

} // namespace bulrush::review

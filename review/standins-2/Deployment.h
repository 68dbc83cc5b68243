#pragma once

#include "Executor.h"
#include "PlatformStore.h"
#include "Record.h"

#include <atomic>
#include <memory>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

/** What a client was answered; status 0 when no answer came. */
struct ClientAnswer
{
    int status = 0;
    std::string body;
};

/** One process of the system, started with the command of the deploy file. */
class Node
{
public:
    Node(int number, const std::string &folder, int storePort, int machinesPort);
    ~Node();

    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    void start();
    void kill();

    /** Sends SIGTERM and waits for the end of the process, or kills it after the grace period. */
    void stop();
    const std::string &address() const { return this->ip; }
    bool isReady() const;

    /** Sends a client's request. @param patience how long the client waits for the answer */
    ClientAnswer request(const std::string &method, const std::string &path,
                         const std::string &body, Milliseconds patience) const;

private:
    void writeSettings(int storePort, int machinesPort) const;

    const std::string ip;
    const std::string settingsPath;
    const std::string logPath;
    pid_t process = 0;
};

/** A small deployment: the platform's store and list of machines, executors, and the processes of
    the system. */
class Deployment
{
public:
    /** @param folder where the settings and the logs of the processes are written */
    Deployment(Record &record, const ExecutorRules &rules, const std::string &folder,
               int executorCount, int nodeCount);
    ~Deployment();

    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /** Waits until all nodes are ready and one of them is the owner. */
    bool awaitReady();

    /** Returns the node that holds the first partition; the first one if none does. */
    Node &owner();

    /** Returns a node that does not hold the first partition. */
    Node &otherNode(std::size_t number = 0);

    /** Hands a submission in, again while it is refused or not answered. @returns whether it was
        accepted */
    bool submit(const std::string &id, const std::string &phases);

    /** Sends a client's request to a node and writes it to the record. */
    ClientAnswer send(Node &node, const std::string &method, const std::string &id,
                      const std::string &body, Milliseconds patience);

    /** Returns the state of a submission as a node that answers shows it; empty if none does. */
    std::string stateOf(const std::string &id);

    /** Waits until a submission is shown in a state. */
    bool awaitState(const std::string &id, const std::string &state, Milliseconds limit);

    /** Waits for a run of a task that has not ended. */
    bool awaitRun(const std::string &task, Milliseconds limit);

    PlatformStore store;
    RunBook book;
    std::vector<std::unique_ptr<Executor>> executors;
    std::vector<std::unique_ptr<Node>> nodes;

private:
    void checkIn();
    void listMachines(const httplib::Request &request, httplib::Response &answer);

    Record &record;
    bulrush::standins::LoopbackServer machines;
    std::atomic<bool> closing = false;
    std::thread checkIns;
};

/** Sleeps until a time of the record. */
void sleepUntil(const Record &record, std::int64_t time);

} // namespace review

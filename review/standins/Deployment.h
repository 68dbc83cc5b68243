#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace review {

/** One line of the executors' file of events. */
struct Event
{
    std::int64_t atMs = 0;
    /** boot, start, end, noted, noted-after-lapse or lapse. */
    std::string what;
    std::string worker;
    std::string born;
    /** The kind of the executor, which is one of its labels. */
    std::string kind;
    std::string task;
    std::string attempt;
    /** Of an end and when it is noted: how the run ended. Of a start: further fields. */
    std::string how;
    std::string line;

    /** Returns the submission of the task. */
    std::string submission() const { return this->task.substr(0, this->task.find('.')); }
};

/** An executor, as it is started. */
struct WorkerSpec
{
    std::string name;
    std::string kind;
    std::string rack;
    int cpu = 64000;
};

/** The answer that a client got. */
struct Answer
{
    /** 0 when there was none. */
    int status = 0;
    std::string body;

    bool accepted() const { return this->status >= 200 && this->status < 300; }
    /** Returns the state that the answer shows; empty when it shows none. */
    std::string state() const;
};

/**
    A small deployment on loopback addresses: three nodes with the command of the deploy file, a
    platform and executors. All of them are processes of their own, and end with this object.
*/
class Deployment
{
public:
    /** @param recordPath where to write what was sent, answered and run */
    Deployment(const std::string &recordPath, const std::vector<WorkerSpec> &workers);
    ~Deployment();

    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /** Waits until a submission has been accepted and completed. @returns whether it was */
    bool waitUntilServing();

    /** Hands a submission in, and again at other nodes until there is a final answer or the retries
        are used up. @returns the last answer */
    Answer submit(const std::string &id, const std::string &body);

    /** Asks for the state of a submission, at up to three nodes. */
    Answer state(const std::string &id);

    /** Asks until a submission has a state or the time is over. @returns its last state */
    std::string waitForState(const std::string &id, const std::string &state, int timeoutMs);

    /** Has the store refuse all calls with 503, or serve again. */
    void setStoreDown(bool down);

    /** Has the store take so many times as long to answer. */
    void setStoreSlow(int times);

    /** Returns the number of the node that holds the group's partition at the store, and so orders
        the executors; 0 when none does. */
    int ownerNode() const;
    void killNode(int number);
    void startNode(int number);

    void killWorker(const std::string &name);
    /** @param kind what kind of executor the new process is */
    void startWorker(const std::string &name, const std::string &kind);

    /** Returns the events of all executors so far, in the order of time. */
    std::vector<Event> events() const;

    /** Does what the platform does to a process that exceeds memoryMb: kills each node that does,
        and starts it again after a short delay. To be called often.
        @returns how many nodes it killed */
    int enforceMemoryLimit();

    /** Writes a line into the record. */
    void note(const std::string &text);

    static std::int64_t nowMs();
    static void sleepMs(int millis);

private:
    struct WorkerProcess
    {
        WorkerSpec spec;
        int port = 0;
        pid_t process = 0;
    };

    Answer call(const std::string &method, const std::string &path, const std::string &body);
    pid_t spawn(const std::vector<std::string> &arguments, const std::string &logName,
                const std::string &settingsPath = {});
    void stopProcess(pid_t process);
    std::string nodeAddress(int number) const;

    std::ofstream record;
    std::string folder;
    std::string eventsPath;
    int storePort = 0;
    int addressOctet = 0;
    std::map<std::string, WorkerProcess> workers;
    std::map<int, pid_t> nodeProcesses;
    /** When nodes that were killed start again. */
    std::map<int, std::int64_t> nodeRestarts;
    std::vector<pid_t> processes;
    std::atomic<int> nextNode = 0;
    std::mutex recordMutex;
    std::int64_t startedAt = 0;
};

/** Returns a submission's id, 16 hexadecimal digits, for a number. */
std::string submissionId(int number);

/** Returns whether the environment asks for the disruption: TROUBLE is not 0. */
bool withTrouble();

/** Runs a case, and returns the exit status of its script: 0 when the rule held, 1 when it was
    broken, 2 when the case could not run. */
int runCase(int argc, char **argv, int (*run)(const std::string &recordPath));

} // namespace review

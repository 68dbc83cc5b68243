#pragma once

#include "standins/common/LoopbackServer.h"
#include "standins/common/ProcessClock.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace bulrush::soak {

/** The faults that are active in the store at present. */
struct StoreFaults
{
    std::atomic<bool> down = false;
    std::atomic<int> delayMs = 0;
    /** Percentage of calls that take effect but whose connection is closed without an answer. */
    std::atomic<int> lossPercent = 0;
    /** Percentage of appends of callers' jobs that get no answer and take effect seconds later. */
    std::atomic<int> lateSubmissionsPercent = 0;
};

/**
    The subset of the users' store that the daemon uses: keyed logs of one partition each with a
    fenced producer, and one group with one partition that determines the owner.
*/
class StoreServer
{
public:
    explicit StoreServer(unsigned seed);
    ~StoreServer();

    int start() { return this->server.start(0); }

    /** Appends a record without a producer, as the operator or a worker does. */
    void put(const std::string &topic, const std::string &key, const std::string &value);

    StoreFaults faults;

private:
    using Request = httplib::Request;
    using Response = httplib::Response;
    using Handler = void (StoreServer::*)(const Request &, Response &);

    struct Record
    {
        std::string key;
        std::string value;
    };

    struct Topic
    {
        std::vector<Record> records;
        std::uint64_t epoch = 0;
        /** The sequence number that the epoch's next append must have. */
        std::uint64_t nextSequence = 0;
        bool acceptsAnySequence = true;
        std::map<std::uint64_t, std::size_t> offsetBySequence;
    };

    httplib::Server::Handler withFaults(Handler handler);
    void append(const Request &request, Response &answer);
    void appendNow(const Request &request, Response &answer);

    /** Draws whether an append is to be carried out late; never for one that is no submission. */
    bool isLateSubmission(const Request &request);
    void read(const Request &request, Response &answer);
    void newest(const Request &request, Response &answer);
    void join(const Request &request, Response &answer);
    void leave(const Request &request, Response &answer);
    void owners(const Request &request, Response &answer);
    void removeExpiredMembers();
    void assignPartition();

    standins::LoopbackServer server;
    standins::ProcessClock clock;
    std::mutex mutex;
    std::condition_variable appended;
    std::map<std::string, Topic> topics;
    std::map<std::string, std::int64_t> membershipExpiryMs;
    std::string partitionOwner;
    std::uint64_t generation = 0;
    std::minstd_rand random;
    std::minstd_rand lateRandom;
    std::atomic<bool> closing = false;
};

} // namespace bulrush::soak

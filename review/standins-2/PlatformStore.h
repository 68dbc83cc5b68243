#pragma once

#include "../../standins/common/LoopbackServer.h"
#include "Record.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review {

/**
    The platform's store in its log form: topics of one partition, producers with epochs, keyed
    topics, and one group.

    While it is down it resets each call, and the times of the group pause.
*/
class PlatformStore
{
public:
    /** Returns after how long an append takes effect that gets no answer; none for one that is
        answered. */
    using LateAppends = std::function<std::optional<Milliseconds>(
            const std::string &topic, const std::vector<std::string> &keys)>;

    explicit PlatformStore(Record &record);
    ~PlatformStore();

    PlatformStore(const PlatformStore &) = delete;
    PlatformStore &operator=(const PlatformStore &) = delete;

    int start() { return this->server.start(0); }

    /** Appends a record as the operator or an executor does. */
    void put(const std::string &topic, const std::string &key, const std::string &value);

    /** Appends the entry of an executor, or removes it if it is empty; does nothing while down. */
    void checkIn(const std::string &executor, const std::string &entry);

    void setDown(bool down);
    void setLateAppends(LateAppends lateAppends);

    /** Returns the member that holds the first partition. */
    std::string holder();

    /** Returns when the holder last joined, in milliseconds of the record. */
    std::int64_t holderJoinedAt();

    /** Returns the number of records that a producer has appended in its newest epoch. */
    std::uint64_t appendsOfEpoch();

    /** Returns the bytes of all records; at 400 MB appends are refused. */
    std::size_t storedBytes();

    /** Returns the newest value of a key; empty if there is none. */
    std::string newestValue(const std::string &topic, const std::string &key);

private:
    using Request = httplib::Request;
    using Response = httplib::Response;
    using Handler = void (PlatformStore::*)(const Request &, Response &);
    using Json = nlohmann::json;

    struct Entry
    {
        std::string key;
        std::string value;
    };

    struct Answer
    {
        int status = 0;
        Json body;
    };

    struct Producer
    {
        std::uint64_t epoch = 0;
        std::uint64_t lastSequence = 0;
        bool anySequence = true;
        std::uint64_t appends = 0;
        /** The answers to the last five appends, by sequence number. */
        std::deque<std::pair<std::uint64_t, Answer>> lastAnswers;
    };

    struct Topic
    {
        std::vector<Entry> entries;
        std::map<std::string, Producer> producers;
    };

    struct Member
    {
        std::int64_t expiresAt = 0;
        std::int64_t joinedAt = 0;
        /** The generation with which it joined first. */
        std::uint64_t since = 0;
    };

    httplib::Server::Handler withFaults(Handler handler);
    void append(const Request &request, Response &answer);
    void read(const Request &request, Response &answer);
    void newest(const Request &request, Response &answer);
    void join(const Request &request, Response &answer);
    void leave(const Request &request, Response &answer);
    void owners(const Request &request, Response &answer);
    Answer appendTo(const Request &request);
    Answer appendOf(Producer &producer, Topic &topic, const Request &request);
    void addEntries(Topic &topic, const std::string &body);
    void removeExpired();
    void assign();
    std::string newestMember() const;
    Json partsOf(const std::string &member) const;

    Record &record;
    bulrush::standins::LoopbackServer server;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Topic> topics;
    std::map<std::string, Member> members;
    /** Who holds the first partition, until it was told of the generation in which another member
        is to hold it. With each change of the members that is the newest one. */
    std::string holderName;
    std::uint64_t generation = 0;
    LateAppends lateAppends;
    std::vector<std::thread> lateThreads;
    std::size_t bytes = 0;
    bool down = false;
    std::int64_t downSince = 0;
    bool closing = false;
};

} // namespace review

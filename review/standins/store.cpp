// A stand-in for the platform: the store with its log and its group, the list of machines, and the
// operator's and the executors' ways to write into it.
//
// Usage: review_store PORT

#include "../../standins/common/LoopbackServer.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace {

using nlohmann::json;
using Request = httplib::Request;
using Response = httplib::Response;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr std::size_t maxRecordBytes = 262144;
constexpr std::size_t maxRequestBytes = 2097152;
constexpr std::size_t maxPageRecords = 500;
constexpr std::size_t maxPageBytes = 1U << 20U;
constexpr std::int64_t maxWaitMs = 30'000;
constexpr int groupPartitions = 24;
constexpr milliseconds answerTime { 4 };
constexpr milliseconds heartbeat { 1500 };
constexpr int heartbeatsOfSilence = 3;
constexpr milliseconds sweepInterval { 50 };

/** How long after an outage no entry of an executor expires. */
constexpr milliseconds returnTime { 2000 };

constexpr int statusBadRequest = 400;
constexpr int statusConflict = 409;
constexpr int statusUnavailable = 503;

std::uint64_t bigEndian(std::string_view bytes)
{
    std::uint64_t value = 0;
    for (const char byte : bytes) {
        value = (value << 8U) | static_cast<unsigned char>(byte);
    }
    return value;
}

void appendBigEndian(std::string &out, std::uint64_t value, unsigned bytes)
{
    for (unsigned left = bytes; left > 0; --left) {
        out.push_back(static_cast<char>((value >> (8U * (left - 1))) & 0xffU));
    }
}

struct Record
{
    std::string key;
    std::string value;
};

struct Topic
{
    std::vector<Record> records;
    std::uint64_t epoch = 0;
    bool anySequence = true;
    std::uint64_t nextSequence = 0;
    std::map<std::uint64_t, std::size_t> offsetBySequence;
};

/** An executor's entry, as last written. */
struct Entry
{
    std::string value;
    Clock::time_point writtenAt;
};

class Store
{
public:
    Store();

    int start(int port) { return this->server.start(port); }
    void sweepForever();

private:
    using Handler = void (Store::*)(const Request &, Response &);

    httplib::Server::Handler storeCall(Handler handler);
    void append(const Request &request, Response &answer);
    void read(const Request &request, Response &answer);
    void newest(const Request &request, Response &answer);
    void join(const Request &request, Response &answer);
    void leave(const Request &request, Response &answer);
    void owners(const Request &request, Response &answer);
    void machines(const Request &request, Response &answer);
    void beat(const Request &request, Response &answer);
    void put(const Request &request, Response &answer);
    void setDown(const Request &request, Response &answer);
    void setSlow(const Request &request, Response &answer);
    void showHolder(const Request &request, Response &answer);
    void add(const std::string &topic, Record record);
    void assignPartition();
    void removeSilentMembers();

    std::mutex mutex;
    std::condition_variable appended;
    std::map<std::string, Topic> topics;
    std::map<std::string, Entry> entries;
    std::map<std::string, Clock::time_point> memberUntil;
    std::string holder;
    std::uint64_t generation = 0;
    std::atomic<bool> down = false;
    /** How many times as long as usual an answer takes. */
    std::atomic<int> slowness = 1;
    Clock::time_point downSince;
    Clock::time_point upSince;
    bulrush::standins::LoopbackServer server;
};

std::string base64(const std::string &bytes)
{
    constexpr std::string_view digits =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    constexpr unsigned sixBits = 63;
    std::string text;
    unsigned accumulator = 0;
    unsigned bits = 0;
    for (const char byte : bytes) {
        accumulator = (accumulator << 8U) | static_cast<unsigned char>(byte);
        for (bits += 8; bits >= 6; bits -= 6) {
            text.push_back(digits[(accumulator >> (bits - 6)) & sixBits]);
        }
    }
    if (bits > 0) {
        text.push_back(digits[(accumulator << (6 - bits)) & sixBits]);
    }
    return text.append((4 - text.size() % 4) % 4, '=');
}

Store::Store()
{
    this->server.Post("/api/log-append", this->storeCall(&Store::append));
    this->server.Get("/api/log-read", this->storeCall(&Store::read));
    this->server.Get("/api/log-newest", this->storeCall(&Store::newest));
    this->server.Post("/api/log-join", this->storeCall(&Store::join));
    this->server.Post("/api/log-leave", this->storeCall(&Store::leave));
    this->server.Get("/api/log-owners", this->storeCall(&Store::owners));
    this->server.Post("/standin/beat", this->storeCall(&Store::beat));
    this->server.Post("/standin/put", this->storeCall(&Store::put));
    const auto direct = [this](Handler handler) {
        return [this, handler](const Request &request, Response &answer) {
            (this->*handler)(request, answer);
        };
    };
    this->server.Get("/api/machines", direct(&Store::machines));
    this->server.Post("/standin/down", direct(&Store::setDown));
    this->server.Post("/standin/slow", direct(&Store::setSlow));
    this->server.Get("/standin/holder", direct(&Store::showHolder));
}

httplib::Server::Handler Store::storeCall(Handler handler)
{
    return [this, handler](const Request &request, Response &answer) {
        if (this->down) {
            answer.status = statusUnavailable;
            return;
        }
        (this->*handler)(request, answer);
        std::this_thread::sleep_for(answerTime * this->slowness.load());
    };
}

void Store::add(const std::string &topic, Record record)
{
    this->topics[topic].records.push_back(std::move(record));
    this->appended.notify_all();
}

void Store::append(const Request &request, Response &answer)
{
    std::vector<Record> records;
    std::string_view body = request.body;
    bool valid = body.size() <= maxRequestBytes;
    while (valid && !body.empty()) {
        const std::size_t length = body.size() < 4 ? 0 : bigEndian(body.substr(0, 4));
        valid = length > 0 && length <= maxRecordBytes && length <= body.size() - 4;
        if (valid) {
            const std::string_view content = body.substr(4, length);
            const auto keyLength = static_cast<unsigned char>(content.front());
            records.push_back({ std::string(content.substr(1, keyLength)),
                                std::string(content.substr(1U + keyLength)) });
            body.remove_prefix(4 + length);
        }
    }
    if (!valid) {
        bulrush::standins::answerJson(answer, { { "reason", "size" } }, statusBadRequest);
        return;
    }
    const std::scoped_lock lock(this->mutex);
    Topic &topic = this->topics[request.get_param_value("topic")];
    if (request.has_param("producer")) {
        const std::uint64_t epoch = std::stoull(request.get_param_value("epoch"));
        const std::uint64_t sequence = std::stoull(request.get_param_value("sequence"));
        if (epoch < topic.epoch) {
            bulrush::standins::answerJson(answer, { { "reason", "fenced" } }, statusConflict);
            return;
        }
        if (epoch > topic.epoch) {
            topic.epoch = epoch;
            topic.anySequence = true;
            topic.offsetBySequence.clear();
        }
        const auto repeated = topic.offsetBySequence.find(sequence);
        if (repeated != topic.offsetBySequence.end()) {
            bulrush::standins::answerJson(answer, { { "offset", repeated->second } });
            return;
        }
        if (!records.empty()) {
            if (!topic.anySequence && sequence != topic.nextSequence) {
                bulrush::standins::answerJson(
                        answer, { { "reason", "seq" }, { "sequence", topic.nextSequence } },
                        statusConflict);
                return;
            }
            topic.anySequence = false;
            topic.nextSequence = sequence + 1;
            topic.offsetBySequence[sequence] = topic.records.size();
        }
    }
    const std::size_t first = topic.records.size();
    for (Record &record : records) {
        topic.records.push_back(std::move(record));
    }
    bulrush::standins::answerJson(answer,
                                  { { "offset", first }, { "endOffset", topic.records.size() } });
    this->appended.notify_all();
}

void Store::read(const Request &request, Response &answer)
{
    const std::string name = request.get_param_value("topic");
    const std::size_t from = std::stoull(request.get_param_value("from"));
    const std::int64_t wait = bulrush::standins::numberParameter(request, "waitMs", 0, maxWaitMs);
    std::unique_lock lock(this->mutex);
    this->appended.wait_for(lock, milliseconds(wait), [this, &name, from] {
        return this->topics[name].records.size() > from;
    });
    if (this->down) {
        answer.status = statusUnavailable;
        return;
    }
    const std::vector<Record> &records = this->topics[name].records;
    std::string body;
    appendBigEndian(body, records.size(), 8);
    appendBigEndian(body, 0, 8);
    for (std::size_t at = from; at < records.size() && body.size() < maxPageBytes; ++at) {
        const Record &record = records[at];
        appendBigEndian(body, 1 + record.key.size() + record.value.size(), 4);
        body.push_back(static_cast<char>(record.key.size()));
        body += record.key + record.value;
    }
    answer.set_content(body, "application/octet-stream");
}

void Store::newest(const Request &request, Response &answer)
{
    const std::scoped_lock lock(this->mutex);
    const std::vector<Record> &records = this->topics[request.get_param_value("topic")].records;
    std::map<std::string, std::size_t> newestByKey;
    for (std::size_t at = 0; at < records.size(); ++at) {
        newestByKey[records[at].key] = at;
    }
    json items = json::array();
    std::size_t bytes = 0;
    auto at = newestByKey.upper_bound(request.get_param_value("dependsOn"));
    for (; at != newestByKey.end() && items.size() < maxPageRecords && bytes < maxPageBytes; ++at) {
        const Record &record = records[at->second];
        if (!record.value.empty()) {
            bytes += record.value.size();
            items.push_back({ { "key", at->first },
                              { "value", base64(record.value) },
                              { "offset", at->second } });
        }
    }
    bulrush::standins::answerJson(answer,
                                  { { "items", items },
                                    { "hasMore", at != newestByKey.end() },
                                    { "endOffset", records.size() } });
}

void Store::assignPartition()
{
    if (this->memberUntil.contains(this->holder)) {
        return;
    }
    ++this->generation;
    this->holder = this->memberUntil.empty() ? std::string() : this->memberUntil.begin()->first;
}

void Store::removeSilentMembers()
{
    const Clock::time_point now = Clock::now();
    const auto silent = [now](const auto &member) { return member.second < now; };
    if (std::erase_if(this->memberUntil, silent) > 0) {
        ++this->generation;
    }
}

void Store::join(const Request &request, Response &answer)
{
    const json body = bulrush::standins::parseBody(request);
    const std::string member = body.at("member");
    const std::scoped_lock lock(this->mutex);
    this->removeSilentMembers();
    if (!this->memberUntil.contains(member)) {
        ++this->generation;
    }
    this->memberUntil[member] = Clock::now() + milliseconds(body.at("ttlMs").get<int>());
    this->assignPartition();
    json parts = json::array();
    if (this->holder == member) {
        parts.push_back({ "keyed.jobs", 0, 0 });
    }
    bulrush::standins::answerJson(answer,
                                  { { "generation", this->generation }, { "parts", parts } });
}

void Store::leave(const Request &request, Response &answer)
{
    const json body = bulrush::standins::parseBody(request);
    const std::scoped_lock lock(this->mutex);
    this->memberUntil.erase(body.at("member").get<std::string>());
    ++this->generation;
    this->assignPartition();
    bulrush::standins::answerJson(answer, json::object());
}

void Store::owners(const Request & /*request*/, Response &answer)
{
    const std::scoped_lock lock(this->mutex);
    this->removeSilentMembers();
    this->assignPartition();
    json rows = json::array();
    if (!this->holder.empty()) {
        rows.push_back({ "keyed.jobs", 0, this->holder, 0 });
    }
    int partition = 1;
    for (const auto &[member, until] : this->memberUntil) {
        if (member != this->holder && partition < groupPartitions) {
            rows.push_back({ "keyed.jobs", partition++, member, 0 });
        }
    }
    bulrush::standins::answerJson(answer, rows);
}

void Store::machines(const Request & /*request*/, Response &answer)
{
    // A machine stays in the list while its executor's entry stands.
    const std::scoped_lock lock(this->mutex);
    json rows = json::array();
    for (const auto &[name, entry] : this->entries) {
        const json value = json::parse(entry.value);
        rows.push_back({ { "machine", "m-" + name },
                         { "pool", value.at("service") },
                         { "state", "up" },
                         { "zone", value.at("zone") },
                         { "labels", value.at("labels") },
                         { "capacity", value.at("capacity") },
                         { "id", name } });
    }
    bulrush::standins::answerJson(answer, { { "machines", rows } });
}

void Store::beat(const Request &request, Response &answer)
{
    const std::string name = request.get_param_value("id");
    const std::scoped_lock lock(this->mutex);
    Entry &entry = this->entries[name];
    entry.writtenAt = Clock::now();
    if (entry.value != request.body) {
        entry.value = request.body;
        this->add("keyed.servers", { name, entry.value });
    }
    bulrush::standins::answerJson(answer, json::object());
}

void Store::put(const Request &request, Response &answer)
{
    const std::scoped_lock lock(this->mutex);
    this->add(request.get_param_value("topic"), { request.get_param_value("key"), request.body });
    bulrush::standins::answerJson(answer, json::object());
}

void Store::setDown(const Request &request, Response &answer)
{
    const std::scoped_lock lock(this->mutex);
    const bool goesDown = request.get_param_value("on") == "1";
    const Clock::time_point now = Clock::now();
    if (goesDown && !this->down) {
        this->downSince = now;
    } else if (!goesDown && this->down) {
        // The times of members pause while the store is down.
        for (auto &[member, until] : this->memberUntil) {
            until += now - this->downSince;
        }
        this->upSince = now;
    }
    this->down = goesDown;
    bulrush::standins::answerJson(answer, json::object());
}

void Store::setSlow(const Request &request, Response &answer)
{
    this->slowness = std::stoi(request.get_param_value("times"));
    bulrush::standins::answerJson(answer, json::object());
}

void Store::showHolder(const Request & /*request*/, Response &answer)
{
    const std::scoped_lock lock(this->mutex);
    answer.set_content(this->holder, "text/plain");
}

void Store::sweepForever()
{
    for (;;) {
        std::this_thread::sleep_for(sweepInterval);
        const std::scoped_lock lock(this->mutex);
        const Clock::time_point now = Clock::now();
        if (this->down || now - this->upSince < returnTime) {
            continue;
        }
        std::vector<std::string> gone;
        for (const auto &[name, entry] : this->entries) {
            if (now - entry.writtenAt > heartbeat * heartbeatsOfSilence) {
                gone.push_back(name);
            }
        }
        for (const std::string &name : gone) {
            this->entries.erase(name);
            this->add("keyed.servers", { name, {} });
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2) {
        return 2;
    }
    Store store;
    store.start(std::stoi(argv[1]));
    store.sweepForever();
}

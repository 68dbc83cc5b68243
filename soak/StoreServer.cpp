#include "soak/StoreServer.h"

#include <algorithm>
#include <thread>

namespace bulrush::soak {

namespace {

using nlohmann::json;

constexpr int statusConflict = 409;
constexpr int statusUnavailable = 503;
constexpr std::size_t maxPageRecords = 500;

/** How much later a submission is stored that is stored late: longer than nodes wait for an answer.
 */
constexpr int minSubmissionDelayMs = 800;
constexpr int maxSubmissionDelayMs = 4000;
constexpr std::size_t maxReadRecords = 2000;

/** A page ends after the record with which it reaches this size. */
constexpr std::size_t maxPageBytes = 1U << 20U;
constexpr std::int64_t maxWaitMs = 30'000;

/** Partitions of the group's topic; the member that holds the first one is the owner. */
constexpr int groupPartitions = 4;

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

std::string base64(const std::string &bytes)
{
    constexpr std::string_view digits =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    constexpr unsigned sixBitMask = 63;
    std::string text;
    unsigned accumulator = 0;
    unsigned bits = 0;
    for (const char byte : bytes) {
        accumulator = (accumulator << 8U) | static_cast<unsigned char>(byte);
        for (bits += 8; bits >= 6; bits -= 6) {
            text.push_back(digits[(accumulator >> (bits - 6)) & sixBitMask]);
        }
    }
    if (bits > 0) {
        text.push_back(digits[(accumulator << (6 - bits)) & sixBitMask]);
    }
    return text.append((4 - text.size() % 4) % 4, '=');
}

/** Returns a text with the bytes replaced that are no UTF-8, as JSON can hold no others. */
std::string replaceInvalidUtf8(const std::string &text)
{
    return json::parse(json(text).dump(-1, ' ', false, json::error_handler_t::replace));
}

} // namespace

StoreServer::StoreServer(unsigned seed)
    : random(seed)
    , lateRandom(seed + 1)
{
    this->server.Post("/api/log-append", this->withFaults(&StoreServer::append));
    this->server.Get("/api/log-read", this->withFaults(&StoreServer::read));
    this->server.Get("/api/log-newest", this->withFaults(&StoreServer::newest));
    this->server.Post("/api/log-join", this->withFaults(&StoreServer::join));
    this->server.Post("/api/log-leave", this->withFaults(&StoreServer::leave));
    this->server.Get("/api/log-owners", this->withFaults(&StoreServer::owners));
}

StoreServer::~StoreServer()
{
    this->closing = true;
    this->appended.notify_all();
    this->server.close();
}

httplib::Server::Handler StoreServer::withFaults(Handler handler)
{
    return [this, handler](const Request &request, Response &answer) {
        if (this->faults.down) {
            answer.status = statusUnavailable;
            return;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(this->faults.delayMs));
        (this->*handler)(request, answer);
        bool lost = false;
        {
            const std::scoped_lock lock(this->mutex);
            std::uniform_int_distribution<int> percent(0, 99);
            lost = percent(this->random) < this->faults.lossPercent;
        }
        if (lost) {
            standins::LoopbackServer::dropConnection();
        }
    };
}

void StoreServer::put(const std::string &topic, const std::string &key, const std::string &value)
{
    {
        const std::scoped_lock lock(this->mutex);
        this->topics[topic].records.push_back({ key, value });
    }
    this->appended.notify_all();
}

bool StoreServer::isLateSubmission(const Request &request)
{
    constexpr std::string_view submissionKey = "job/";
    if (request.has_param("producer") || request.body.find(submissionKey) == std::string::npos) {
        return false;
    }
    const std::scoped_lock lock(this->mutex);
    std::uniform_int_distribution<int> percent(0, 99);
    return percent(this->lateRandom) < this->faults.lateSubmissionsPercent;
}

void StoreServer::append(const Request &request, Response &answer)
{
    if (!this->isLateSubmission(request)) {
        this->appendNow(request, answer);
        return;
    }
    {
        std::unique_lock lock(this->mutex);
        std::uniform_int_distribution<int> delay(minSubmissionDelayMs, maxSubmissionDelayMs);
        const std::chrono::milliseconds wait(delay(this->lateRandom));
        this->appended.wait_for(lock, wait, [this] { return this->closing.load(); });
    }
    this->appendNow(request, answer);
    standins::LoopbackServer::dropConnection();
}

void StoreServer::appendNow(const Request &request, Response &answer)
{
    const std::scoped_lock lock(this->mutex);
    Topic &topic = this->topics[request.get_param_value("topic")];
    if (request.has_param("producer")) {
        const std::uint64_t epoch = std::stoull(request.get_param_value("epoch"));
        const std::uint64_t sequence = std::stoull(request.get_param_value("sequence"));
        if (epoch < topic.epoch) {
            standins::answerJson(answer, { { "reason", "fenced" } }, statusConflict);
            return;
        }
        if (epoch > topic.epoch) {
            topic.epoch = epoch;
            topic.acceptsAnySequence = true;
            topic.offsetBySequence.clear();
        }
        const auto previousOffset = topic.offsetBySequence.find(sequence);
        if (previousOffset != topic.offsetBySequence.end()) {
            standins::answerJson(answer, { { "offset", previousOffset->second } });
            return;
        }
        if (request.body.empty()) {
            standins::answerJson(answer, { { "offset", topic.records.size() } });
            return;
        }
        if (!topic.acceptsAnySequence && sequence != topic.nextSequence) {
            standins::answerJson(answer,
                                 { { "reason", "seq" }, { "sequence", topic.nextSequence } },
                                 statusConflict);
            return;
        }
        topic.acceptsAnySequence = false;
        topic.nextSequence = sequence + 1;
        topic.offsetBySequence[sequence] = topic.records.size();
    }
    const std::size_t first = topic.records.size();
    std::string_view body = request.body;
    while (body.size() >= 5) {
        const auto length = static_cast<std::size_t>(bigEndian(body.substr(0, 4)));
        const std::string_view content = body.substr(4, length);
        const auto keyLength = static_cast<unsigned char>(content.front());
        topic.records.push_back({ std::string(content.substr(1, keyLength)),
                                  std::string(content.substr(1U + keyLength)) });
        body.remove_prefix(4 + length);
    }
    standins::answerJson(answer, { { "offset", first }, { "endOffset", topic.records.size() } });
    this->appended.notify_all();
}

void StoreServer::read(const Request &request, Response &answer)
{
    const std::string name = request.get_param_value("topic");
    const std::size_t from = std::stoull(request.get_param_value("from"));
    const std::int64_t wait = standins::numberParameter(request, "waitMs", 0, maxWaitMs);
    std::unique_lock lock(this->mutex);
    this->appended.wait_for(lock, std::chrono::milliseconds(wait), [this, &name, from] {
        return this->closing || this->topics[name].records.size() > from;
    });
    const std::vector<Record> &records = this->topics[name].records;
    std::string body;
    appendBigEndian(body, records.size(), 8);
    appendBigEndian(body, 0, 8);
    const std::size_t end = std::min(records.size(), from + maxReadRecords);
    for (std::size_t at = from; at < end && body.size() < maxPageBytes; ++at) {
        const Record &record = records[at];
        appendBigEndian(body, 1 + record.key.size() + record.value.size(), 4);
        body.push_back(static_cast<char>(record.key.size()));
        body += record.key + record.value;
    }
    answer.set_content(body, "application/octet-stream");
}

void StoreServer::newest(const Request &request, Response &answer)
{
    const std::scoped_lock lock(this->mutex);
    const std::vector<Record> &records = this->topics[request.get_param_value("topic")].records;
    std::map<std::string, std::size_t> newestOffsetByKey;
    for (std::size_t at = 0; at < records.size(); ++at) {
        newestOffsetByKey[records[at].key] = at;
    }
    json items = json::array();
    const std::string after = request.get_param_value("dependsOn");
    std::size_t bytes = 0;
    auto at = newestOffsetByKey.upper_bound(after);
    for (; at != newestOffsetByKey.end() && items.size() < maxPageRecords && bytes < maxPageBytes;
         ++at) {
        if (!records[at->second].value.empty()) {
            bytes += records[at->second].value.size();
            items.push_back({ { "key", replaceInvalidUtf8(at->first) },
                              { "value", base64(records[at->second].value) },
                              { "offset", at->second } });
        }
    }
    const bool more = at != newestOffsetByKey.end();
    standins::answerJson(
            answer, { { "items", items }, { "hasMore", more }, { "endOffset", records.size() } });
}

void StoreServer::assignPartition()
{
    if (this->membershipExpiryMs.contains(this->partitionOwner)) {
        return;
    }
    ++this->generation;
    this->partitionOwner = this->membershipExpiryMs.empty()
            ? std::string()
            : this->membershipExpiryMs.begin()->first;
}

void StoreServer::removeExpiredMembers()
{
    const std::int64_t now = this->clock.nowMs();
    if (std::erase_if(this->membershipExpiryMs,
                      [now](const auto &member) { return member.second < now; })
        > 0) {
        ++this->generation;
    }
}

void StoreServer::join(const Request &request, Response &answer)
{
    const json body = standins::parseBody(request);
    const std::string member = body.at("member");
    const std::scoped_lock lock(this->mutex);
    this->removeExpiredMembers();
    if (!this->membershipExpiryMs.contains(member)) {
        ++this->generation;
    }
    this->membershipExpiryMs[member] = this->clock.nowMs() + body.at("ttlMs").get<std::int64_t>();
    this->assignPartition();
    json parts = json::array();
    if (this->partitionOwner == member) {
        parts.push_back({ "keyed.jobs", 0, 0 });
    }
    standins::answerJson(answer, { { "generation", this->generation }, { "parts", parts } });
}

void StoreServer::leave(const Request &request, Response &answer)
{
    const std::scoped_lock lock(this->mutex);
    this->membershipExpiryMs.erase(standins::parseBody(request).at("member").get<std::string>());
    ++this->generation;
    this->assignPartition();
    standins::answerJson(answer, json::object());
}

void StoreServer::owners(const Request & /*request*/, Response &answer)
{
    const std::scoped_lock lock(this->mutex);
    this->removeExpiredMembers();
    this->assignPartition();
    json rows = json::array();
    if (!this->partitionOwner.empty()) {
        rows.push_back({ "keyed.jobs", 0, this->partitionOwner, 0 });
    }
    int partition = 1;
    for (const auto &[member, until] : this->membershipExpiryMs) {
        if (member != this->partitionOwner && partition < groupPartitions) {
            rows.push_back({ "keyed.jobs", partition++, member, 0 });
        }
    }
    standins::answerJson(answer, rows);
}

} // namespace bulrush::soak

#include "soak/StoreServer.h"

#include <algorithm>
#include <thread>

namespace bulrush::soak {

namespace {

using nlohmann::json;

constexpr int statusConflict = 409;
constexpr int statusUnavailable = 503;
constexpr std::size_t pageRecords = 500;
constexpr std::size_t readRecords = 2000;
constexpr std::int64_t longestWaitMs = 30'000;

/** Partitions of the group's topic; the first is the one that makes an owner. */
constexpr int groupPartitions = 4;

std::uint64_t bigEndian(std::string_view bytes)
{
    std::uint64_t value = 0;
    for (const char each : bytes) {
        value = (value << 8U) | static_cast<unsigned char>(each);
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
    constexpr unsigned lowSix = 63;
    std::string text;
    unsigned held = 0;
    unsigned bits = 0;
    for (const char each : bytes) {
        held = (held << 8U) | static_cast<unsigned char>(each);
        for (bits += 8; bits >= 6; bits -= 6) {
            text.push_back(digits[(held >> (bits - 6)) & lowSix]);
        }
    }
    if (bits > 0) {
        text.push_back(digits[(held << (6 - bits)) & lowSix]);
    }
    return text.append((4 - text.size() % 4) % 4, '=');
}

} // namespace

StoreServer::StoreServer(unsigned seed)
    : random(seed)
{
    this->server.Post("/api/log-append", this->subjectToFaults(&StoreServer::append));
    this->server.Get("/api/log-read", this->subjectToFaults(&StoreServer::read));
    this->server.Get("/api/log-newest", this->subjectToFaults(&StoreServer::newest));
    this->server.Post("/api/log-join", this->subjectToFaults(&StoreServer::join));
    this->server.Post("/api/log-leave", this->subjectToFaults(&StoreServer::leave));
    this->server.Get("/api/log-owners", this->subjectToFaults(&StoreServer::owners));
}

StoreServer::~StoreServer()
{
    this->closing = true;
    this->appended.notify_all();
    this->server.close();
}

httplib::Server::Handler StoreServer::subjectToFaults(Handler handler)
{
    return [this, handler](const Request &request, Response &answer) {
        if (this->faults.down) {
            answer.status = statusUnavailable;
            return;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(this->faults.slowMs));
        (this->*handler)(request, answer);
        bool lost = false;
        {
            const std::scoped_lock lock(this->mutex);
            std::uniform_int_distribution<int> percent(0, 99);
            lost = percent(this->random) < this->faults.lostPercent;
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

void StoreServer::append(const Request &request, Response &answer)
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
            topic.anySequence = true;
            topic.offsets.clear();
        }
        const auto repeated = topic.offsets.find(sequence);
        if (repeated != topic.offsets.end()) {
            standins::answerJson(answer, { { "offset", repeated->second } });
            return;
        }
        if (request.body.empty()) {
            standins::answerJson(answer, { { "offset", topic.records.size() } });
            return;
        }
        if (!topic.anySequence && sequence != topic.nextSequence) {
            standins::answerJson(answer,
                                 { { "reason", "seq" }, { "sequence", topic.nextSequence } },
                                 statusConflict);
            return;
        }
        topic.anySequence = false;
        topic.nextSequence = sequence + 1;
        topic.offsets[sequence] = topic.records.size();
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
    const std::int64_t wait = standins::numberParameter(request, "waitMs", 0, longestWaitMs);
    std::unique_lock lock(this->mutex);
    this->appended.wait_for(lock, std::chrono::milliseconds(wait), [this, &name, from] {
        return this->closing || this->topics[name].records.size() > from;
    });
    const std::vector<Record> &records = this->topics[name].records;
    std::string body;
    appendBigEndian(body, records.size(), 8);
    appendBigEndian(body, 0, 8);
    const std::size_t end = std::min(records.size(), from + readRecords);
    for (std::size_t at = from; at < end; ++at) {
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
    std::map<std::string, std::size_t> newestOf;
    for (std::size_t at = 0; at < records.size(); ++at) {
        newestOf[records[at].key] = at;
    }
    json items = json::array();
    const std::string after = request.get_param_value("dependsOn");
    for (auto at = newestOf.upper_bound(after); at != newestOf.end() && items.size() < pageRecords;
         ++at) {
        if (!records[at->second].value.empty()) {
            items.push_back({ { "key", at->first },
                              { "value", base64(records[at->second].value) },
                              { "offset", at->second } });
        }
    }
    const bool more = items.size() == pageRecords;
    standins::answerJson(
            answer, { { "items", items }, { "hasMore", more }, { "endOffset", records.size() } });
}

void StoreServer::chooseHolder()
{
    if (this->memberUntil.contains(this->holder)) {
        return;
    }
    ++this->generation;
    this->holder = this->memberUntil.empty() ? std::string() : this->memberUntil.begin()->first;
}

void StoreServer::dropSilentMembers()
{
    const std::int64_t now = this->clock.nowMs();
    if (std::erase_if(this->memberUntil, [now](const auto &each) { return each.second < now; })
        > 0) {
        ++this->generation;
    }
}

void StoreServer::join(const Request &request, Response &answer)
{
    const json body = standins::parseBody(request);
    const std::string member = body.at("member");
    const std::scoped_lock lock(this->mutex);
    this->dropSilentMembers();
    if (!this->memberUntil.contains(member)) {
        ++this->generation;
    }
    this->memberUntil[member] = this->clock.nowMs() + body.at("ttlMs").get<std::int64_t>();
    this->chooseHolder();
    json parts = json::array();
    if (this->holder == member) {
        parts.push_back({ "keyed.jobs", 0, 0 });
    }
    standins::answerJson(answer, { { "generation", this->generation }, { "parts", parts } });
}

void StoreServer::leave(const Request &request, Response &answer)
{
    const std::scoped_lock lock(this->mutex);
    this->memberUntil.erase(standins::parseBody(request).at("member").get<std::string>());
    ++this->generation;
    this->chooseHolder();
    standins::answerJson(answer, json::object());
}

void StoreServer::owners(const Request & /*request*/, Response &answer)
{
    const std::scoped_lock lock(this->mutex);
    this->dropSilentMembers();
    this->chooseHolder();
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
    standins::answerJson(answer, rows);
}

} // namespace bulrush::soak

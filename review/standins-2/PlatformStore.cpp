#include "PlatformStore.h"

#include <algorithm>
#include <utility>

namespace review {

namespace {

using bulrush::standins::answerJson;
using bulrush::standins::LoopbackServer;
using bulrush::standins::numberParameter;
using bulrush::standins::parseBody;

constexpr int statusOk = 200;
constexpr int statusConflict = 409;
constexpr int statusInsufficientStorage = 507;
constexpr std::size_t maxStoredBytes = 400'000'000;
constexpr std::int64_t defaultPageKb = 1024;
constexpr std::size_t bytesPerKb = 1024;
constexpr std::size_t rememberedAnswers = 5;
constexpr std::size_t maxPageRecords = 500;
constexpr std::int64_t maxWaitMs = 30'000;
constexpr std::size_t lengthBytes = 4;
constexpr std::size_t offsetBytes = 8;
constexpr int parts = 24;

/** How long a call whose answer is lost keeps its channel. */
constexpr Milliseconds lostAnswerTime { 1500 };

std::uint64_t bigEndian(std::string_view bytes)
{
    std::uint64_t value = 0;
    for (const char byte : bytes) {
        value = (value << 8U) | static_cast<unsigned char>(byte);
    }
    return value;
}

void addBigEndian(std::string &out, std::uint64_t value, std::size_t bytes)
{
    for (std::size_t left = bytes; left > 0; --left) {
        out.push_back(static_cast<char>((value >> (8U * (left - 1))) & 0xffU));
    }
}

std::string base64(const std::string &bytes)
{
    constexpr std::string_view digits =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    unsigned accumulator = 0;
    unsigned bits = 0;
    for (const char byte : bytes) {
        accumulator = (accumulator << 8U) | static_cast<unsigned char>(byte);
        for (bits += 8; bits >= 6; bits -= 6) {
            text.push_back(digits[(accumulator >> (bits - 6)) & 63U]);
        }
    }
    if (bits > 0) {
        text.push_back(digits[(accumulator << (6 - bits)) & 63U]);
    }
    return text.append((4 - text.size() % 4) % 4, '=');
}

/** Returns the records of a body, each as its key and value. */
std::vector<std::pair<std::string, std::string>> splitBody(std::string_view body)
{
    std::vector<std::pair<std::string, std::string>> records;
    while (body.size() > lengthBytes) {
        const auto length = static_cast<std::size_t>(bigEndian(body.substr(0, lengthBytes)));
        const std::string_view content = body.substr(lengthBytes, length);
        const auto keyLength = static_cast<unsigned char>(content.front());
        records.emplace_back(content.substr(1, keyLength), content.substr(1U + keyLength));
        body.remove_prefix(lengthBytes + length);
    }
    return records;
}

} // namespace

PlatformStore::PlatformStore(Record &caseRecord)
    : record(caseRecord)
{
    this->server.Post("/api/log-append", this->withFaults(&PlatformStore::append));
    this->server.Get("/api/log-read", this->withFaults(&PlatformStore::read));
    this->server.Get("/api/log-newest", this->withFaults(&PlatformStore::newest));
    this->server.Post("/api/log-join", this->withFaults(&PlatformStore::join));
    this->server.Post("/api/log-leave", this->withFaults(&PlatformStore::leave));
    this->server.Get("/api/log-owners", this->withFaults(&PlatformStore::owners));
}

PlatformStore::~PlatformStore()
{
    {
        const std::scoped_lock lock(this->mutex);
        this->closing = true;
    }
    this->changed.notify_all();
    this->server.close();
    for (std::thread &thread : this->lateThreads) {
        thread.join();
    }
}

httplib::Server::Handler PlatformStore::withFaults(Handler handler)
{
    return [this, handler](const Request &request, Response &answer) {
        {
            const std::scoped_lock lock(this->mutex);
            if (this->down || this->closing) {
                LoopbackServer::dropConnection();
                return;
            }
        }
        (this->*handler)(request, answer);
    };
}

void PlatformStore::put(const std::string &topic, const std::string &key, const std::string &value)
{
    {
        const std::scoped_lock lock(this->mutex);
        this->topics[topic].entries.push_back({ key, value });
    }
    this->changed.notify_all();
}

void PlatformStore::checkIn(const std::string &executor, const std::string &entry)
{
    {
        const std::scoped_lock lock(this->mutex);
        if (this->down) {
            return;
        }
    }
    this->put("keyed.servers", executor, entry);
}

void PlatformStore::setDown(bool isDown)
{
    {
        const std::scoped_lock lock(this->mutex);
        const std::int64_t now = this->record.now();
        if (isDown && !this->down) {
            this->downSince = now;
        } else if (!isDown && this->down) {
            for (auto &[name, member] : this->members) {
                member.expiresAt += now - this->downSince;
            }
        }
        this->down = isDown;
    }
    this->changed.notify_all();
    this->record.write(isDown ? "store: down" : "store: up");
}

void PlatformStore::setLateAppends(LateAppends late)
{
    const std::scoped_lock lock(this->mutex);
    this->lateAppends = std::move(late);
}

std::string PlatformStore::holder()
{
    const std::scoped_lock lock(this->mutex);
    return this->holderName;
}

std::int64_t PlatformStore::holderJoinedAt()
{
    const std::scoped_lock lock(this->mutex);
    const auto found = this->members.find(this->holderName);
    return found == this->members.end() ? 0 : found->second.joinedAt;
}

std::uint64_t PlatformStore::appendsOfEpoch()
{
    const std::scoped_lock lock(this->mutex);
    std::uint64_t appends = 0;
    for (const auto &[name, topic] : this->topics) {
        for (const auto &[producer, state] : topic.producers) {
            appends += state.appends;
        }
    }
    return appends;
}

std::size_t PlatformStore::storedBytes()
{
    const std::scoped_lock lock(this->mutex);
    return this->bytes;
}

std::string PlatformStore::newestValue(const std::string &topic, const std::string &key)
{
    const std::scoped_lock lock(this->mutex);
    const std::vector<Entry> &entries = this->topics[topic].entries;
    const auto found = std::find_if(entries.rbegin(), entries.rend(),
                                    [&key](const Entry &entry) { return entry.key == key; });
    return found == entries.rend() ? std::string() : found->value;
}

void PlatformStore::append(const Request &request, Response &answer)
{
    std::vector<std::string> keys;
    for (const auto &[key, value] : splitBody(request.body)) {
        keys.push_back(key);
    }
    const std::string topic = request.get_param_value("topic");
    std::optional<Milliseconds> late;
    {
        const std::scoped_lock lock(this->mutex);
        late = this->lateAppends ? this->lateAppends(topic, keys) : std::nullopt;
    }
    if (late) {
        this->record.write("store: append of " + keys.front() + " gets no answer");
        std::thread thread([this, request, key = keys.front(), delay = *late] {
            std::this_thread::sleep_for(delay);
            this->record.write("store: that append of " + key + " takes effect");
            this->appendTo(request);
        });
        {
            const std::scoped_lock lock(this->mutex);
            this->lateThreads.push_back(std::move(thread));
        }
        std::this_thread::sleep_for(lostAnswerTime);
        LoopbackServer::dropConnection();
        return;
    }
    const Answer result = this->appendTo(request);
    answerJson(answer, result.body, result.status);
}

PlatformStore::Answer PlatformStore::appendTo(const Request &request)
{
    const std::scoped_lock lock(this->mutex);
    if (this->bytes >= maxStoredBytes) {
        return { statusInsufficientStorage, Json::object() };
    }
    Topic &topic = this->topics[request.get_param_value("topic")];
    Answer result;
    if (request.has_param("producer")) {
        Producer &producer = topic.producers[request.get_param_value("producer")];
        result = this->appendOf(producer, topic, request);
    } else {
        const std::size_t first = topic.entries.size();
        this->addEntries(topic, request.body);
        result = { statusOk, { { "offset", first }, { "endOffset", topic.entries.size() } } };
    }
    this->changed.notify_all();
    return result;
}

PlatformStore::Answer PlatformStore::appendOf(Producer &producer, Topic &topic,
                                              const Request &request)
{
    const std::uint64_t epoch = std::stoull(request.get_param_value("epoch"));
    const std::uint64_t sequence = std::stoull(request.get_param_value("sequence"));
    if (epoch < producer.epoch) {
        return { statusConflict, { { "reason", "fenced" } } };
    }
    if (epoch > producer.epoch) {
        producer = Producer();
        producer.epoch = epoch;
    }
    const std::size_t first = topic.entries.size();
    if (request.body.empty()) {
        return { statusOk, { { "offset", first }, { "endOffset", first } } };
    }
    for (const auto &[number, former] : producer.lastAnswers) {
        if (number == sequence) {
            std::string names;
            for (const auto &[key, value] : splitBody(request.body)) {
                names += " " + key;
            }
            this->record.write("store: epoch " + std::to_string(epoch) + " repeats append "
                               + std::to_string(sequence) + ", now with" + names
                               + ": first answer again, nothing stored");
            return former;
        }
    }
    if (!producer.anySequence && sequence != producer.lastSequence + 1) {
        return { statusConflict,
                 { { "reason", "seq" }, { "sequence", producer.lastSequence + 1 } } };
    }
    producer.anySequence = false;
    producer.lastSequence = sequence;
    ++producer.appends;
    this->addEntries(topic, request.body);
    Answer result = { statusOk, { { "offset", first }, { "endOffset", topic.entries.size() } } };
    producer.lastAnswers.emplace_back(sequence, result);
    if (producer.lastAnswers.size() > rememberedAnswers) {
        producer.lastAnswers.pop_front();
    }
    return result;
}

void PlatformStore::addEntries(Topic &topic, const std::string &body)
{
    this->bytes += body.size();
    for (auto &[key, value] : splitBody(body)) {
        topic.entries.push_back({ std::move(key), std::move(value) });
    }
}

void PlatformStore::read(const Request &request, Response &answer)
{
    const std::string name = request.get_param_value("topic");
    const std::size_t from = std::stoull(request.get_param_value("from"));
    const std::int64_t wait = numberParameter(request, "waitMs", 0, maxWaitMs);
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(lock, Milliseconds(wait), [this, &name, from] {
        return this->closing || this->down || this->topics[name].entries.size() > from;
    });
    if (this->down || this->closing) {
        LoopbackServer::dropConnection();
        return;
    }
    const std::vector<Entry> &entries = this->topics[name].entries;
    std::string body;
    addBigEndian(body, entries.size(), offsetBytes);
    addBigEndian(body, 0, offsetBytes);
    const auto maxBytes = static_cast<std::size_t>(
                                  numberParameter(request, "maxKb", defaultPageKb, defaultPageKb))
            * bytesPerKb;
    for (std::size_t at = from; at < entries.size() && body.size() < maxBytes; ++at) {
        const Entry &entry = entries[at];
        addBigEndian(body, 1 + entry.key.size() + entry.value.size(), lengthBytes);
        body.push_back(static_cast<char>(entry.key.size()));
        body += entry.key + entry.value;
    }
    answer.set_content(body, "application/octet-stream");
}

void PlatformStore::newest(const Request &request, Response &answer)
{
    const std::scoped_lock lock(this->mutex);
    const std::vector<Entry> &entries = this->topics[request.get_param_value("topic")].entries;
    std::map<std::string, std::size_t> newestOffsets;
    for (std::size_t at = 0; at < entries.size(); ++at) {
        newestOffsets[entries[at].key] = at;
    }
    Json items = Json::array();
    auto at = newestOffsets.upper_bound(request.get_param_value("dependsOn"));
    for (; at != newestOffsets.end() && items.size() < maxPageRecords; ++at) {
        const Entry &entry = entries[at->second];
        if (!entry.value.empty()) {
            items.push_back({ { "key", entry.key },
                              { "value", base64(entry.value) },
                              { "offset", at->second } });
        }
    }
    answerJson(answer,
               { { "items", items },
                 { "hasMore", at != newestOffsets.end() },
                 { "endOffset", entries.size() } });
}

void PlatformStore::removeExpired()
{
    const std::int64_t now = this->record.now();
    const auto expired = [now](const auto &member) { return member.second.expiresAt < now; };
    if (std::erase_if(this->members, expired) > 0) {
        ++this->generation;
    }
    this->assign();
}

std::string PlatformStore::newestMember() const
{
    const auto older = [](const auto &one, const auto &other) {
        return one.second.since < other.second.since;
    };
    const auto newest = std::max_element(this->members.begin(), this->members.end(), older);
    return newest == this->members.end() ? std::string() : newest->first;
}

void PlatformStore::assign()
{
    const std::string next = this->newestMember();
    if (this->members.contains(this->holderName) || next == this->holderName) {
        return;
    }
    this->holderName = next;
    this->record.write("store: generation " + std::to_string(this->generation)
                       + ", the first partition is held by " + (next.empty() ? "nobody" : next));
}

PlatformStore::Json PlatformStore::partsOf(const std::string &member) const
{
    Json rows = Json::array();
    int part = 1;
    for (const auto &[name, state] : this->members) {
        const bool holds = name == this->holderName
                && (member.empty() || this->newestMember() == this->holderName);
        if (holds && (member.empty() || member == name)) {
            rows.push_back(member.empty() ? Json { "keyed.jobs", 0, name, 0 }
                                          : Json { "keyed.jobs", 0, 0 });
        }
        if (part < parts && (member.empty() || member == name)) {
            rows.push_back(member.empty() ? Json { "keyed.jobs", part, name, 0 }
                                          : Json { "keyed.jobs", part, 0 });
        }
        ++part;
    }
    return rows;
}

void PlatformStore::join(const Request &request, Response &answer)
{
    const Json body = parseBody(request);
    const std::string name = body.at("member");
    const std::scoped_lock lock(this->mutex);
    this->removeExpired();
    const bool knowsGeneration = body.value("generation", std::uint64_t { 0 }) >= this->generation;
    if (name == this->holderName && this->newestMember() != name && knowsGeneration) {
        this->holderName.clear();
    }
    if (!this->members.contains(name)) {
        this->members[name].since = ++this->generation;
    }
    Member &member = this->members[name];
    member.joinedAt = this->record.now();
    member.expiresAt = member.joinedAt + body.at("ttlMs").get<std::int64_t>();
    this->assign();
    answerJson(answer, { { "generation", this->generation }, { "parts", this->partsOf(name) } });
}

void PlatformStore::leave(const Request &request, Response &answer)
{
    const std::scoped_lock lock(this->mutex);
    if (this->members.erase(parseBody(request).at("member").get<std::string>()) > 0) {
        ++this->generation;
    }
    this->assign();
    answerJson(answer, Json::object());
}

void PlatformStore::owners(const Request & /*request*/, Response &answer)
{
    const std::scoped_lock lock(this->mutex);
    this->removeExpired();
    answerJson(answer, { { "parts", this->partsOf({}) } });
}

} // namespace review

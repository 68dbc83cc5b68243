// A stand-in for one executor that runs tasks. It guards its capacity, and writes what it does to a
// file of events, one line each: TIME_MS EVENT WORKER BORN KIND [fields].
//
// The spec of a submission says how long its tasks take, "ms=NUMBER", and how much longer each
// takes than the one before, "+NUMBER" (0 if left out); "ms=0" stands for tasks that last.
//
// Usage: review_worker NAME PORT KIND RACK CPU STORE_PORT EVENTS_FILE

#include "../../standins/common/LoopbackServer.h"
#include "../../standins/common/ProcessClock.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace {

using nlohmann::json;
using Request = httplib::Request;
using Response = httplib::Response;
using std::chrono::milliseconds;

constexpr std::int64_t maxLeaseMs = 6000;
constexpr std::int64_t memoryMb = 250'000;
constexpr std::size_t maxListedEnds = 500;
constexpr std::int64_t maxHoldWaitMs = 2000;
constexpr milliseconds heartbeat { 1500 };
constexpr milliseconds heartbeatRetry { 100 };
constexpr milliseconds pollInterval { 2 };
constexpr std::int64_t fullPercent = 100;
constexpr int statusConflict = 409;
constexpr int statusOtherInstance = 421;

std::int64_t steadyMs()
{
    return std::chrono::duration_cast<milliseconds>(
                   std::chrono::steady_clock::now().time_since_epoch())
            .count();
}

/** Returns the number that follows a mark in a spec; 0 without the mark. */
std::int64_t numberAfter(const std::string &spec, const std::string &mark)
{
    const std::size_t at = spec.find(mark);
    return at == std::string::npos ? 0 : std::stoll(spec.substr(at + mark.size()));
}

/** Returns how long a task of a submission with this spec takes. */
std::int64_t durationOf(const std::string &task, const std::string &spec)
{
    const std::int64_t index = std::stoll(task.substr(task.rfind('.') + 1));
    return numberAfter(spec, "ms=") + index * numberAfter(spec, "+");
}

struct Settings
{
    std::string name;
    int port = 0;
    std::string kind;
    std::string rack;
    std::int64_t cpu = 0;
    int storePort = 0;
    std::string eventsPath;
};

struct Run
{
    std::int64_t startedAt = 0;
    std::int64_t durationMs = 0;
    std::int64_t cpu = 0;
};

struct End
{
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t attempt = 0;
    std::string how;
    /** How often the lease had lapsed when the run ended. */
    std::uint64_t lapses = 0;
};

using RunKey = std::pair<std::string, std::uint64_t>;

class Worker
{
public:
    explicit Worker(Settings workerSettings);

    void runForever();

private:
    using Handler = void (Worker::*)(const json &, Response &);

    httplib::Server::Handler order(Handler handler);
    void start(const json &command, Response &answer);
    void stop(const json &command, Response &answer);
    void hold(const json &command, Response &answer);
    bool passesFence(const json &command, Response &answer);
    void extendLease(const json &command);
    void refuse(Response &answer, const char *reason) const;
    void endRun(const RunKey &key, const std::string &how);
    void endDueRuns();
    std::int64_t clockMs() const { return steadyMs() - this->bootedAt; }
    std::string entry() const;
    void writeHeartbeats();
    void write(const std::string &event, const std::string &fields) const;

    const Settings settings;
    const std::int64_t bootedAt = steadyMs();
    const std::int64_t born;
    int events = -1;
    std::mutex mutex;
    std::condition_variable changed;
    std::uint64_t fencingToken = 0;
    std::int64_t leaseEnd = 0;
    bool leaseHeld = false;
    std::uint64_t lapses = 0;
    std::map<RunKey, Run> running;
    std::map<std::string, std::uint64_t> highestEnded;
    std::deque<End> ends;
    std::uint64_t lastNumber = 0;
    bulrush::standins::LoopbackServer server;
};

Worker::Worker(Settings workerSettings)
    : settings(std::move(workerSettings))
    , born(bulrush::standins::ProcessClock().nowMs())
    , events(open(this->settings.eventsPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644))
{
    this->server.Post("/api/run-start", this->order(&Worker::start));
    this->server.Post("/api/run-stop", this->order(&Worker::stop));
    this->server.Post("/api/hold", this->order(&Worker::hold));
    this->write("boot", "");
    this->server.start(this->settings.port);
}

void Worker::write(const std::string &event, const std::string &fields) const
{
    const std::string line = std::to_string(steadyMs()) + " " + event + " " + this->settings.name
            + " " + std::to_string(this->born) + " " + this->settings.kind + " " + fields + "\n";
    if (::write(this->events, line.data(), line.size()) < 0) {
        std::abort();
    }
}

httplib::Server::Handler Worker::order(Handler handler)
{
    return [this, handler](const Request &request, Response &answer) {
        if (request.get_header_value("expect-instance") != this->settings.name) {
            answer.status = statusOtherInstance;
            return;
        }
        (this->*handler)(bulrush::standins::parseBody(request), answer);
    };
}

void Worker::refuse(Response &answer, const char *reason) const
{
    bulrush::standins::answerJson(answer, { { "clockMs", this->clockMs() }, { "reason", reason } },
                                  statusConflict);
}

bool Worker::passesFence(const json &command, Response &answer)
{
    const auto token = command.value("fencingToken", std::uint64_t { 0 });
    if (token < this->fencingToken) {
        this->refuse(answer, "fence");
        return false;
    }
    this->fencingToken = token;
    return true;
}

void Worker::extendLease(const json &command)
{
    const auto asked = command.value("deadlineMs", std::int64_t { 0 });
    this->leaseEnd = std::max(this->leaseEnd, std::min(asked, this->clockMs() + maxLeaseMs));
    this->leaseHeld = this->leaseHeld || this->leaseEnd > this->clockMs();
}

void Worker::start(const json &command, Response &answer)
{
    const RunKey key { command.at("task"), command.at("attempt") };
    const std::string spec = command.at("spec");
    const std::scoped_lock lock(this->mutex);
    if (!this->passesFence(command, answer)) {
        return;
    }
    if (this->running.contains(key)) {
        this->extendLease(command);
        bulrush::standins::answerJson(answer, { { "clockMs", this->clockMs() } });
        return;
    }
    const auto ended = this->highestEnded.find(key.first);
    if (ended != this->highestEnded.end() && key.second <= ended->second) {
        this->extendLease(command);
        this->refuse(answer, "old");
        return;
    }
    if (command.at("deadlineMs").get<std::int64_t>() <= this->clockMs()) {
        this->refuse(answer, "late");
        return;
    }
    this->extendLease(command);
    const Run run { steadyMs(), durationOf(key.first, spec), numberAfter(spec, "cpu=") };
    std::int64_t used = run.cpu;
    for (const auto &[other, each] : this->running) {
        used += each.cpu;
    }
    if (used > this->settings.cpu) {
        this->refuse(answer, "room");
        return;
    }
    this->running.emplace(key, run);
    this->write("start",
                key.first + " " + std::to_string(key.second)
                        + " token=" + std::to_string(this->fencingToken) + " spec=" + spec);
    bulrush::standins::answerJson(answer, { { "clockMs", this->clockMs() } });
}

void Worker::stop(const json &command, Response &answer)
{
    const RunKey key { command.at("task"), command.at("attempt") };
    const std::scoped_lock lock(this->mutex);
    if (!this->passesFence(command, answer)) {
        return;
    }
    std::uint64_t &highest = this->highestEnded[key.first];
    highest = std::max(highest, key.second);
    if (this->running.contains(key)) {
        this->endRun(key, "stopped");
    }
    bulrush::standins::answerJson(answer, { { "clockMs", this->clockMs() } });
}

void Worker::endRun(const RunKey &key, const std::string &how)
{
    this->running.erase(key);
    std::uint64_t &highest = this->highestEnded[key.first];
    highest = std::max(highest, key.second);
    this->ends.push_back({ ++this->lastNumber, key.first, key.second, how, this->lapses });
    this->write("end", key.first + " " + std::to_string(key.second) + " " + how);
    this->changed.notify_all();
}

void Worker::hold(const json &command, Response &answer)
{
    const auto lastSeen = command.value("lastSeen", std::uint64_t { 0 });
    std::unique_lock lock(this->mutex);
    if (!this->passesFence(command, answer)) {
        return;
    }
    this->extendLease(command);
    while (!this->ends.empty() && this->ends.front().number <= lastSeen) {
        const End &end = this->ends.front();
        // An end counts as noted unless the lease has lapsed since.
        const char *const event = end.lapses == this->lapses ? "noted" : "noted-after-lapse";
        this->write(event, end.task + " " + std::to_string(end.attempt) + " " + end.how);
        this->ends.pop_front();
    }
    const std::int64_t wait = std::min(maxHoldWaitMs, command.value("waitMs", std::int64_t { 0 }));
    this->changed.wait_for(lock, milliseconds(wait), [this] { return !this->ends.empty(); });
    json runningRows = json::array();
    for (const auto &[key, run] : this->running) {
        const std::int64_t elapsed = steadyMs() - run.startedAt;
        const std::int64_t percent = run.durationMs == 0
                ? fullPercent
                : std::min(fullPercent - 1, fullPercent * elapsed / run.durationMs);
        runningRows.push_back({ key.first, key.second, "", percent, run.cpu });
    }
    json endRows = json::array();
    for (std::size_t at = 0; at < this->ends.size() && at < maxListedEnds; ++at) {
        const End &end = this->ends[at];
        endRows.push_back({ end.number, end.task, end.attempt, end.how, "" });
    }
    bulrush::standins::answerJson(answer,
                                  { { "clockMs", this->clockMs() },
                                    { "born", this->born },
                                    { "running", runningRows },
                                    { "finished", endRows } });
}

void Worker::endDueRuns()
{
    const std::scoped_lock lock(this->mutex);
    const bool lapsed = this->leaseHeld && this->clockMs() >= this->leaseEnd;
    if (lapsed) {
        this->leaseHeld = false;
        ++this->lapses;
        this->write("lapse", "");
    }
    const std::int64_t now = steadyMs();
    std::vector<RunKey> due;
    for (const auto &[key, run] : this->running) {
        if (lapsed || (run.durationMs > 0 && now - run.startedAt >= run.durationMs)) {
            due.push_back(key);
        }
    }
    for (const RunKey &key : due) {
        this->endRun(key, lapsed ? "lapsed" : "done");
    }
}

std::string Worker::entry() const
{
    const json capacity = { { "cpu", this->settings.cpu }, { "memMb", memoryMb } };
    return json {
        { "service", "review" },
        { "address", "127.0.0.1:" + std::to_string(this->settings.port) },
        { "zone", "z1" },
        { "version", "1" },
        { "slots", 8 },
        { "state", "ready" },
        { "coldLeftMs", 0 },
        { "capacity", capacity },
        { "labels", { this->settings.kind, this->settings.rack } },
        { "born", this->born }
    }.dump();
}

void Worker::writeHeartbeats()
{
    httplib::Client store("127.0.0.1", this->settings.storePort);
    store.set_keep_alive(true);
    for (;;) {
        const auto result = store.Post("/standin/beat?id=" + this->settings.name, this->entry(),
                                       "application/json");
        const bool written = result && result->status == 200;
        std::this_thread::sleep_for(written ? heartbeat : heartbeatRetry);
    }
}

void Worker::runForever()
{
    std::thread heartbeats([this] { this->writeHeartbeats(); });
    for (;;) {
        std::this_thread::sleep_for(pollInterval);
        this->endDueRuns();
    }
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 8) {
        return 2;
    }
    Worker worker({ argv[1], std::stoi(argv[2]), argv[3], argv[4], std::stoll(argv[5]),
                    std::stoi(argv[6]), argv[7] });
    worker.runForever();
}

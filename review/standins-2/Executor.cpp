#include "Executor.h"

#include <algorithm>
#include <utility>

namespace review {

namespace {

using bulrush::standins::answerJson;
using bulrush::standins::LoopbackServer;
using bulrush::standins::parseBody;

constexpr int statusOk = 200;
constexpr int statusConflict = 409;
constexpr int statusOtherBoot = 421;
constexpr Milliseconds workInterval { 5 };
constexpr std::int64_t fullPercent = 100;
constexpr std::size_t maxListedEnds = 500;

/** How long a call whose answer is lost keeps its channel. */
constexpr Milliseconds lostAnswerTime { 1500 };

std::int64_t unixMillis()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Milliseconds>(now).count();
}

} // namespace

std::size_t RunBook::add(RunOfTask run)
{
    const std::scoped_lock lock(this->mutex);
    this->runs.push_back(std::move(run));
    return this->runs.size() - 1;
}

void RunBook::end(std::size_t index, std::int64_t at, const std::string &how)
{
    const std::scoped_lock lock(this->mutex);
    this->runs.at(index).endedAt = at;
    this->runs.at(index).how = how;
}

void RunBook::note(std::size_t index, std::int64_t at)
{
    const std::scoped_lock lock(this->mutex);
    this->runs.at(index).notedAt = at;
}

std::vector<RunOfTask> RunBook::runsOf(const std::string &task) const
{
    const std::scoped_lock lock(this->mutex);
    std::vector<RunOfTask> found;
    for (const RunOfTask &run : this->runs) {
        if (task.empty() || run.task == task) {
            found.push_back(run);
        }
    }
    return found;
}

Executor::Executor(std::string executorId, Record &caseRecord, RunBook &runBook,
                   const ExecutorRules &executorRules)
    : id(std::move(executorId))
    , record(caseRecord)
    , book(runBook)
    , rules(executorRules)
    , startedAt(caseRecord.now())
    , born(unixMillis())
{
    this->server.Post("/api/run-start", this->guarded(&Executor::runStart));
    this->server.Post("/api/run-stop", this->guarded(&Executor::runStop));
    this->server.Post("/api/hold", this->guarded(&Executor::hold));
    this->server.Post("/api/pace", this->guarded(&Executor::pace));
    this->worker = std::thread([this] { this->work(); });
}

Executor::~Executor()
{
    {
        const std::scoped_lock lock(this->mutex);
        this->closing = true;
    }
    this->changed.notify_all();
    this->server.close();
    this->worker.join();
    for (std::thread &thread : this->lateThreads) {
        thread.join();
    }
}

int Executor::start()
{
    this->port = this->server.start(0);
    return this->port;
}

std::string Executor::entry()
{
    const std::scoped_lock lock(this->mutex);
    return Json {
        { "service", "review" },
        { "address", "127.0.0.1:" + std::to_string(this->port) },
        { "zone", "z1" },
        { "version", "v1" },
        { "slots", 8 },
        { "state", "ready" },
        { "coldLeftMs", 0 },
        { "sequence", this->record.now() },
        { "born", this->born },
        { "capacity", { { "cpu", this->rules.cpu }, { "memMb", this->rules.memMb } } },
        { "labels", { "a", "r1-1" } }
    }.dump();
}

httplib::Server::Handler Executor::guarded(Handler handler)
{
    return [this, handler](const Request &request, Response &answer) {
        {
            const std::scoped_lock lock(this->mutex);
            if (!this->up || this->closing) {
                LoopbackServer::dropConnection();
                return;
            }
            if (request.get_header_value("Expect-Instance") != this->id) {
                answerJson(answer, { { "clockMs", this->clockMs() } }, statusOtherBoot);
                return;
            }
        }
        (this->*handler)(request, answer);
    };
}

bool Executor::passesFence(const Json &order, Response &answer)
{
    const std::uint64_t token = order.value("fencingToken", std::uint64_t { 0 });
    if (token < this->fence) {
        answerJson(answer, { { "clockMs", this->clockMs() }, { "reason", "fence" } },
                   statusConflict);
        return false;
    }
    this->fence = token;
    return true;
}

void Executor::extendLease(const Json &order)
{
    const std::int64_t longest = this->clockMs() + this->rules.holdMaxMs;
    const std::int64_t end = order.value("deadlineMs", std::int64_t { 0 });
    this->leaseEnd = std::max(this->leaseEnd, std::min(end, longest));
}

std::int64_t Executor::usedCpu() const
{
    std::int64_t used = 0;
    for (const auto &[key, run] : this->running) {
        used += run.cpu;
    }
    return used;
}

std::pair<int, Executor::Json> Executor::carryOut(const Json &order)
{
    const std::uint64_t token = order.value("fencingToken", std::uint64_t { 0 });
    const auto refuse = [this](const char *reason) {
        return std::pair<int, Json>(statusConflict,
                                    { { "clockMs", this->clockMs() }, { "reason", reason } });
    };
    if (token < this->fence) {
        return refuse("fence");
    }
    this->fence = token;
    const RunKey key { order.at("task").get<std::string>(),
                       order.at("attempt").get<std::uint64_t>() };
    std::pair<int, Json> accepted { statusOk, { { "clockMs", this->clockMs() } } };
    if (this->running.contains(key)) {
        return accepted;
    }
    if (order.at("deadlineMs").get<std::int64_t>() <= this->clockMs()) {
        return refuse("late");
    }
    this->extendLease(order);
    const auto closed = this->closedAttempts.find(key.first);
    if (closed != this->closedAttempts.end() && key.second <= closed->second) {
        return refuse("old");
    }
    const std::int64_t cpu = this->rules.cpuOf ? this->rules.cpuOf(key.first) : 1000;
    if (this->usedCpu() + cpu > this->rules.cpu) {
        return refuse("room");
    }
    Run run;
    run.startedAt = this->record.now();
    run.work = this->rules.workOf ? this->rules.workOf(key.first) : std::nullopt;
    run.cpu = cpu;
    RunOfTask entry;
    entry.task = key.first;
    entry.attempt = key.second;
    entry.executor = this->id;
    entry.startedAt = run.startedAt;
    run.index = this->book.add(entry);
    this->running.emplace(key, run);
    this->write(this->id + ": begins " + key.first + " run " + std::to_string(key.second)
                + " with fence number " + std::to_string(token));
    return accepted;
}

void Executor::runStart(const Request &request, Response &answer)
{
    const Json order = parseBody(request);
    std::unique_lock lock(this->mutex);
    const std::string task = order.at("task");
    const std::optional<Milliseconds> late =
            this->rules.lateStart ? this->rules.lateStart(task) : std::nullopt;
    if (!late) {
        const auto [status, body] = this->carryOut(order);
        answerJson(answer, body, status);
        return;
    }
    this->record.write(this->id + ": leaves the start of " + task + " unanswered");
    this->lateThreads.emplace_back([this, order, task, delay = *late, lifeThen = this->life] {
        std::this_thread::sleep_for(delay);
        const std::scoped_lock threadLock(this->mutex);
        if (this->life == lifeThen && this->up) {
            const auto [status, body] = this->carryOut(order);
            this->record.write(this->id + ": carries out the late start of " + task + ": "
                               + std::to_string(status) + " " + body.dump());
        }
    });
    lock.unlock();
    std::this_thread::sleep_for(lostAnswerTime);
    LoopbackServer::dropConnection();
}

void Executor::runStop(const Request &request, Response &answer)
{
    const Json order = parseBody(request);
    const std::scoped_lock lock(this->mutex);
    if (!this->passesFence(order, answer)) {
        return;
    }
    const RunKey key { order.at("task").get<std::string>(),
                       order.at("attempt").get<std::uint64_t>() };
    std::uint64_t &closed = this->closedAttempts[key.first];
    closed = std::max(closed, key.second);
    const auto found = this->running.find(key);
    if (found != this->running.end() && !found->second.stopsAt) {
        found->second.stopsAt = this->record.now() + this->rules.stopMs;
    }
    this->record.write(this->id + ": is told to stop " + key.first + " run "
                       + std::to_string(key.second));
    answerJson(answer, { { "clockMs", this->clockMs() } });
}

void Executor::pace(const Request &request, Response &answer)
{
    const Json order = parseBody(request);
    const std::scoped_lock lock(this->mutex);
    if (this->passesFence(order, answer)) {
        answerJson(answer, { { "clockMs", this->clockMs() } });
    }
}

void Executor::hold(const Request &request, Response &answer)
{
    const Json order = parseBody(request);
    std::unique_lock lock(this->mutex);
    if (!this->passesFence(order, answer)) {
        return;
    }
    this->extendLease(order);
    const auto lastSeen = order.value("lastSeen", std::uint64_t { 0 });
    std::erase_if(this->ends, [this, lastSeen](const End &end) {
        if (end.number > lastSeen) {
            return false;
        }
        this->book.note(end.index, this->record.now());
        this->write(this->id + ": the end of " + end.run.first + " is taken note of");
        return true;
    });
    const std::uint64_t lifeThen = this->life;
    this->changed.wait_for(lock, Milliseconds(order.value("waitMs", 0)),
                           [this] { return this->closing || !this->up || !this->ends.empty(); });
    if (!this->up || this->closing || this->life != lifeThen) {
        LoopbackServer::dropConnection();
        return;
    }
    Json listed = Json::array();
    for (const auto &[key, run] : this->running) {
        const std::int64_t elapsed = this->record.now() - run.startedAt;
        const std::int64_t percent = run.work && run.work->count() > 0
                ? std::min(fullPercent - 1, fullPercent * elapsed / run.work->count())
                : fullPercent;
        listed.push_back({ key.first, key.second, "", percent, 0 });
    }
    Json finished = Json::array();
    for (const End &end : this->ends) {
        if (finished.size() < maxListedEnds) {
            finished.push_back({ end.number, end.run.first, end.run.second, end.how, "" });
        }
    }
    answerJson(answer,
               { { "clockMs", this->clockMs() },
                 { "born", this->born },
                 { "running", listed },
                 { "finished", finished } });
}

void Executor::endRun(const RunKey &key, const std::string &how)
{
    const Run run = this->running.at(key);
    this->running.erase(key);
    std::uint64_t &closed = this->closedAttempts[key.first];
    closed = std::max(closed, key.second);
    this->ends.push_back({ ++this->endCount, key, run.index, how });
    this->book.end(run.index, this->record.now(), how);
    this->write(this->id + ": " + key.first + " run " + std::to_string(key.second)
                + " ends: " + how);
}

void Executor::write(const std::string &line)
{
    if (!this->rules.quiet) {
        this->record.write(line);
    }
}

void Executor::work()
{
    std::unique_lock lock(this->mutex);
    while (!this->closing) {
        const std::int64_t now = this->record.now();
        const bool lapsed = this->clockMs() >= this->leaseEnd;
        std::vector<std::pair<RunKey, std::string>> ending;
        for (const auto &[key, run] : this->running) {
            if (lapsed) {
                ending.emplace_back(key, "lapsed");
            } else if (run.stopsAt && now >= *run.stopsAt) {
                ending.emplace_back(key, "stopped");
            } else if (run.work && now - run.startedAt >= run.work->count()) {
                ending.emplace_back(key, "done");
            }
        }
        for (const auto &[key, how] : ending) {
            this->endRun(key, how);
        }
        if (!ending.empty()) {
            this->changed.notify_all();
        }
        lock.unlock();
        std::this_thread::sleep_for(workInterval);
        lock.lock();
    }
}

void Executor::finish(const std::string &task, const std::string &how)
{
    {
        const std::scoped_lock lock(this->mutex);
        std::vector<RunKey> keys;
        for (const auto &[key, run] : this->running) {
            if (key.first == task) {
                keys.push_back(key);
            }
        }
        for (const RunKey &key : keys) {
            this->endRun(key, how);
        }
    }
    this->changed.notify_all();
}

bool Executor::isUp()
{
    const std::scoped_lock lock(this->mutex);
    return this->up;
}

std::int64_t Executor::downFor()
{
    const std::scoped_lock lock(this->mutex);
    return this->up ? 0 : std::max<std::int64_t>(1, this->record.now() - this->downSince);
}

void Executor::crash()
{
    {
        const std::scoped_lock lock(this->mutex);
        this->up = false;
        this->downSince = this->record.now();
        ++this->life;
        for (const auto &[key, run] : this->running) {
            this->book.end(run.index, this->record.now(), "gone");
            this->record.write(this->id + ": " + key.first + " run " + std::to_string(key.second)
                               + " is gone with its executor");
        }
        this->running.clear();
        this->ends.clear();
        this->endCount = 0;
        this->closedAttempts.clear();
        this->fence = 0;
        this->leaseEnd = 0;
    }
    this->changed.notify_all();
    this->record.write(this->id + ": crashes");
}

void Executor::restart()
{
    {
        const std::scoped_lock lock(this->mutex);
        this->up = true;
        this->startedAt = this->record.now();
        this->born = unixMillis();
    }
    this->record.write(this->id + ": is up again");
}

} // namespace review

#include "soak/WorkerServer.h"

#include <utility>

namespace bulrush::soak {

namespace {

using nlohmann::json;

constexpr int statusConflict = 409;
constexpr int statusWrongInstance = 421;
constexpr std::int64_t taskDurationMs = 400;
constexpr std::int64_t maxLeaseMs = 3000;
constexpr std::chrono::milliseconds pollInterval { 10 };
constexpr std::int64_t fullPercent = 100;
constexpr std::int64_t minDelayMs = 1000;
constexpr std::int64_t maxDelayMs = 4000;

/** How long a silent connection stays open: longer than callers wait for any answer. */
constexpr std::chrono::seconds silentTime { 2 };

} // namespace

WorkerServer::WorkerServer(std::string workerName, InvariantChecker &runChecker, unsigned seed,
                           std::string workerDataCentre)
    : name(std::move(workerName))
    , dataCentre(std::move(workerDataCentre))
    , checker(runChecker)
    , processStartedAt(this->clock.nowMs())
    , random(seed)
{
    const auto handler = [this](Command command) {
        return [this, command](const Request &request, Response &answer) {
            this->receive(command, request, answer);
        };
    };
    this->server.Post("/api/run-start", handler(&WorkerServer::start));
    this->server.Post("/api/run-stop", handler(&WorkerServer::stop));
    this->server.Post("/api/hold", handler(&WorkerServer::hold));
    this->port = this->server.start(0);
    this->taskThread = std::thread([this] { this->runTasks(); });
}

WorkerServer::~WorkerServer()
{
    this->closing = true;
    this->changed.notify_all();
    this->server.close();
    this->taskThread.join();
}

std::string WorkerServer::listEntry()
{
    const std::scoped_lock lock(this->mutex);
    const json capacity = { { "cpu", 8000 }, { "memMb", 32000 } };
    return json {
        { "service", "review" },           { "address", "127.0.0.1:" + std::to_string(this->port) },
        { "zone", this->dataCentre },      { "state", "ready" },
        { "capacity", capacity },          { "labels", { "a", "r1-1" } },
        { "born", this->processStartedAt }
    }.dump();
}

void WorkerServer::crash()
{
    const std::scoped_lock lock(this->mutex);
    this->checker.recordWorkerCrash(this->name);
    this->processStartedAt = this->clock.nowMs();
    this->fencingToken = 0;
    this->leaseEnd = 0;
    this->running.clear();
    this->highestAttempt.clear();
    this->endedRuns.clear();
    this->lastEndNumber = 0;
    this->changed.notify_all();
}

void WorkerServer::cutOff(bool drops)
{
    this->checker.note(this->name + " is cut off");
    this->dropsConnections = drops;
    this->isCutOff = true;
    ++this->cutCount;
}

void WorkerServer::reconnect()
{
    this->checker.note(this->name + " is connected again");
    this->isCutOff = false;
}

void WorkerServer::receive(Command command, const Request &request, Response &answer)
{
    if (request.get_header_value("expect-instance") != this->name) {
        answer.status = statusWrongInstance;
        return;
    }
    const std::uint64_t cutsBefore = this->cutCount;
    if (this->isCutOff || this->isLate(command, request)) {
        this->leaveUnanswered();
        return;
    }
    (this->*command)(request, answer);
    if (this->cutCount != cutsBefore) {
        this->leaveUnanswered();
    } else if (this->silent) {
        standins::LoopbackServer::dropConnection();
    }
}

void WorkerServer::leaveUnanswered()
{
    if (!this->dropsConnections) {
        std::unique_lock lock(this->mutex);
        this->changed.wait_for(lock, silentTime, [this] { return this->closing.load(); });
    }
    standins::LoopbackServer::dropConnection();
}

bool WorkerServer::isLate(Command command, const Request &request)
{
    const std::scoped_lock lock(this->mutex);
    std::uniform_int_distribution<int> percent(0, fullPercent - 1);
    if (percent(this->random) >= this->latePercent) {
        return false;
    }
    LateCommand late { command, {}, this->clock.nowMs() };
    std::uniform_int_distribution<std::int64_t> delay(minDelayMs, maxDelayMs);
    late.dueAt += delay(this->random);
    json body = standins::parseBody(request);
    body.erase("waitMs");
    late.request.body = body.dump();
    this->checker.note(this->name + " is to carry out at " + std::to_string(late.dueAt) + ": "
                       + late.request.body);
    this->lateCommands.push_back(std::move(late));
    return true;
}

void WorkerServer::carryOutLateCommands()
{
    std::vector<LateCommand> due;
    {
        const std::scoped_lock lock(this->mutex);
        const std::int64_t now = this->clock.nowMs();
        std::erase_if(this->lateCommands, [&due, now](const LateCommand &late) {
            if (late.dueAt <= now) {
                due.push_back(late);
            }
            return late.dueAt <= now;
        });
    }
    for (const LateCommand &late : due) {
        Response discarded;
        (this->*late.command)(late.request, discarded);
        this->checker.note(this->name + " has carried out late, status "
                           + std::to_string(discarded.status) + ": " + late.request.body);
    }
}

void WorkerServer::refuse(Response &answer, const char *reason)
{
    standins::answerJson(answer, { { "clockMs", this->workerClock() }, { "reason", reason } },
                         statusConflict);
}

bool WorkerServer::checkFencingToken(const json &command, Response &answer)
{
    const auto token = command.value("fencingToken", std::uint64_t { 0 });
    if (token < this->fencingToken) {
        this->refuse(answer, "fence");
        return false;
    }
    this->fencingToken = token;
    return true;
}

void WorkerServer::extendLease(const json &command)
{
    const auto requestedEnd = command.value("deadlineMs", std::int64_t { 0 });
    this->leaseEnd =
            std::max(this->leaseEnd, std::min(requestedEnd, this->workerClock() + maxLeaseMs));
}

void WorkerServer::start(const Request &request, Response &answer)
{
    const json command = standins::parseBody(request);
    const std::string task = command.at("task");
    const std::uint64_t attempt = command.at("attempt");
    const std::scoped_lock lock(this->mutex);
    if (!this->checkFencingToken(command, answer)) {
        return;
    }
    this->extendLease(command);
    const auto run = this->running.find(task);
    if (run != this->running.end() && run->second.attempt == attempt) {
        standins::answerJson(answer, { { "clockMs", this->workerClock() } });
        return;
    }
    if (attempt <= this->highestAttempt[task]) {
        this->refuse(answer, "old");
        return;
    }
    if (command.value("deadlineMs", std::int64_t { 0 }) <= this->workerClock()) {
        this->refuse(answer, "late");
        return;
    }
    this->highestAttempt[task] = attempt;
    if (run != this->running.end()) {
        this->endRun(task, "stopped");
    }
    const bool lasts = command.value("spec", "") == lastingPayload;
    this->running[task] = { attempt, this->clock.nowMs(), lasts };
    ++this->startCount;
    this->checker.note(this->name + " has a lease until "
                       + std::to_string(this->processStartedAt + this->leaseEnd) + " and starts "
                       + request.body);
    this->checker.recordRunStarted(task, this->name);
    standins::answerJson(answer, { { "clockMs", this->workerClock() } });
}

void WorkerServer::stop(const Request &request, Response &answer)
{
    const json command = standins::parseBody(request);
    const std::string task = command.at("task");
    const std::uint64_t attempt = command.at("attempt");
    const std::scoped_lock lock(this->mutex);
    if (!this->checkFencingToken(command, answer)) {
        return;
    }
    this->highestAttempt[task] = std::max(this->highestAttempt[task], attempt);
    const auto run = this->running.find(task);
    if (run != this->running.end() && run->second.attempt <= attempt) {
        this->endRun(task, "stopped");
    }
    standins::answerJson(answer, { { "clockMs", this->workerClock() } });
}

void WorkerServer::endRun(const std::string &task, const std::string &outcome)
{
    const Run run = this->running.at(task);
    this->running.erase(task);
    this->checker.note(task + " ends on " + this->name + ": " + outcome);
    this->checker.recordRunEnded(task, this->name, outcome == "done");
    this->endedRuns.push_back({ ++this->lastEndNumber, task, run.attempt, outcome });
    this->changed.notify_all();
}

void WorkerServer::hold(const Request &request, Response &answer)
{
    const json command = standins::parseBody(request);
    const auto lastSeen = command.value("lastSeen", std::uint64_t { 0 });
    std::unique_lock lock(this->mutex);
    if (!this->checkFencingToken(command, answer)) {
        return;
    }
    this->extendLease(command);
    for (const EndedRun &ended : this->endedRuns) {
        if (ended.number <= lastSeen && ended.outcome == "done") {
            this->checker.recordEndAcknowledged(ended.task);
        }
    }
    std::erase_if(this->endedRuns,
                  [lastSeen](const EndedRun &ended) { return ended.number <= lastSeen; });
    const std::chrono::milliseconds wait(command.value("waitMs", 0));
    this->changed.wait_for(lock, wait,
                           [this] { return this->closing || !this->endedRuns.empty(); });
    json running = json::array();
    for (const auto &[task, run] : this->running) {
        const std::int64_t percent =
                fullPercent * (this->clock.nowMs() - run.startedAt) / taskDurationMs;
        running.push_back({ task, run.attempt, "", std::min(fullPercent - 1, percent), 0 });
    }
    json finished = json::array();
    for (const EndedRun &ended : this->endedRuns) {
        finished.push_back({ ended.number, ended.task, ended.attempt, ended.outcome, "" });
    }
    standins::answerJson(answer,
                         { { "clockMs", this->workerClock() },
                           { "born", this->processStartedAt },
                           { "running", running },
                           { "finished", finished } });
}

void WorkerServer::runTasks()
{
    while (!this->closing) {
        std::this_thread::sleep_for(pollInterval);
        this->carryOutLateCommands();
        const std::scoped_lock lock(this->mutex);
        const bool lapsed = this->workerClock() >= this->leaseEnd;
        std::vector<std::string> endingTasks;
        for (const auto &[task, run] : this->running) {
            const bool done = !run.lasts && this->clock.nowMs() - run.startedAt >= taskDurationMs;
            if (lapsed || (done && !this->runsLong)) {
                endingTasks.push_back(task);
            }
        }
        for (const std::string &task : endingTasks) {
            this->endRun(task, lapsed ? "lapsed" : "done");
        }
    }
}

} // namespace bulrush::soak

#include "review/standins-3/FleetWorker.h"

#include "review/standins-3/Bounds.h"

#include <algorithm>
#include <utility>

namespace bulrush::review {

namespace {

using nlohmann::json;

constexpr int statusConflict = 409;
constexpr int statusWrongBoot = 421;
constexpr int fullPercent = 100;
constexpr std::chrono::milliseconds pollInterval { 5 };
constexpr std::int64_t cpuMilli = 64'000;
constexpr std::int64_t memoryMb = 250'000;
constexpr int slots = 8;

} // namespace

FleetWorker::FleetWorker(std::string workerId, std::string firstKind, std::string workerZone,
                         soak::StoreServer &storeServer, Record &caseRecord,
                         BegunHandler begunHandler)
    : id(std::move(workerId))
    , kind(std::move(firstKind))
    , zone(std::move(workerZone))
    , store(storeServer)
    , record(caseRecord)
    , begun(std::move(begunHandler))
    , born(this->clock.nowMs())
{
    const auto handler = [this](Command command) {
        return [this, command](const Request &request, Response &answer) {
            this->receive(command, request, answer);
        };
    };
    this->server.Post("/api/run-start", handler(&FleetWorker::start));
    this->server.Post("/api/run-stop", handler(&FleetWorker::stop));
    this->server.Post("/api/hold", handler(&FleetWorker::hold));
    this->port = this->server.start(0);
    this->thread = std::thread([this] { this->live(); });
}

FleetWorker::~FleetWorker()
{
    this->closing = true;
    this->changed.notify_all();
    this->thread.join();
    this->server.close();
}

void FleetWorker::crashIn(std::int64_t delayMs, std::int64_t downTimeMs,
                          const std::string &laterKind)
{
    const std::scoped_lock lock(this->mutex);
    this->crashAt = this->clock.nowMs() + delayMs;
    this->downMs = downTimeMs;
    this->nextKind = laterKind;
}

json FleetWorker::machineRow()
{
    const std::scoped_lock lock(this->mutex);
    json row = { { "machine", "m-" + this->id },
                 { "pool", serviceName },
                 { "state", this->down ? "down" : "up" },
                 { "zone", this->zone },
                 { "labels", { this->kind, "r1-1" } },
                 { "capacity", { { "cpu", cpuMilli }, { "memMb", memoryMb } } } };
    if (!this->down) {
        row["id"] = this->id;
    }
    return row;
}

void FleetWorker::holdBackStart(const std::string &task, std::int64_t afterBootMs)
{
    const std::scoped_lock lock(this->mutex);
    this->lateTask = task;
    this->lateAfterBootMs = afterBootMs;
}

bool FleetWorker::runs(const std::string &task)
{
    const std::scoped_lock lock(this->mutex);
    return this->running.contains(task);
}

bool FleetWorker::isHeldBack(const json &command, const Request &request)
{
    const std::scoped_lock lock(this->mutex);
    if (this->lateTask.empty() || command.at("task") != this->lateTask) {
        return false;
    }
    this->lateTask.clear();
    this->lateRequest.body = request.body;
    this->lateAskedAt = this->clock.nowMs();
    this->lateDue = true;
    this->record.line(this->id + " leaves this order to start without an answer: " + request.body);
    return true;
}

void FleetWorker::carryOutLate()
{
    Request request;
    {
        const std::scoped_lock lock(this->mutex);
        const std::int64_t now = this->clock.nowMs();
        if (!this->lateDue || this->down || this->born < this->lateAskedAt
            || now < this->born + this->lateAfterBootMs) {
            return;
        }
        this->lateDue = false;
        request = this->lateRequest;
        this->record.line(this->id + " carries it out, " + std::to_string(now - this->lateAskedAt)
                          + " ms after it came");
    }
    Response answer;
    this->start(request, answer);
    this->record.line("status " + std::to_string(answer.status) + " " + answer.body);
}

int FleetWorker::tasksAtWork(const std::string &submission)
{
    const std::scoped_lock lock(this->mutex);
    return static_cast<int>(
            std::count_if(this->running.begin(), this->running.end(), [&](const auto &each) {
                return each.first.starts_with(submission + ".");
            }));
}

void FleetWorker::receive(Command command, const Request &request, Response &answer)
{
    std::uint64_t lifeBefore = 0;
    {
        const std::scoped_lock lock(this->mutex);
        lifeBefore = this->life;
    }
    if (this->down) {
        standins::LoopbackServer::dropConnection();
        return;
    }
    if (request.get_header_value("expect-instance") != this->id) {
        answer.status = statusWrongBoot;
        return;
    }
    ++this->orders;
    (this->*command)(request, answer);
    const std::scoped_lock lock(this->mutex);
    if (this->down || this->life != lifeBefore) {
        standins::LoopbackServer::dropConnection();
    }
}

void FleetWorker::refuse(Response &answer, const char *reason)
{
    standins::answerJson(answer, { { "clockMs", this->steadyMs() }, { "reason", reason } },
                         statusConflict);
}

bool FleetWorker::checkFence(const json &command, Response &answer)
{
    const auto number = command.value("fencingToken", std::uint64_t { 0 });
    if (number < this->fence) {
        this->refuse(answer, "fence");
        return false;
    }
    this->fence = number;
    return true;
}

void FleetWorker::extendLease(const json &command)
{
    const auto requested = command.value("deadlineMs", std::int64_t { 0 });
    this->leaseEnd = std::max(this->leaseEnd, std::min(requested, this->steadyMs() + holdMaxMs));
}

void FleetWorker::start(const Request &request, Response &answer)
{
    const json command = standins::parseBody(request);
    const std::string task = command.at("task");
    const std::uint64_t attempt = command.at("attempt");
    if (this->isHeldBack(command, request)) {
        std::unique_lock lock(this->mutex);
        this->changed.wait(lock, [this] { return this->closing || this->down; });
        return;
    }
    BegunTask begunTask;
    {
        const std::scoped_lock lock(this->mutex);
        if (this->down || !this->checkFence(command, answer)) {
            return;
        }
        this->extendLease(command);
        const auto run = this->running.find(task);
        if (run != this->running.end() && run->second.attempt == attempt) {
            standins::answerJson(answer, { { "clockMs", this->steadyMs() } });
            return;
        }
        if (attempt <= this->highestAttempt[task]) {
            this->refuse(answer, "old");
            return;
        }
        if (command.value("deadlineMs", std::int64_t { 0 }) <= this->steadyMs()) {
            this->refuse(answer, "late");
            return;
        }
        this->highestAttempt[task] = attempt;
        if (run != this->running.end()) {
            this->endRun(task, "stopped");
        }
        const std::string spec = command.value("spec", "");
        this->running[task] = { attempt, this->clock.nowMs(),
                                spec == "lasts" ? -1 : std::stoll(spec) };
        this->record.line(this->id + " (" + this->kind + ") begins " + task + ", attempt "
                          + std::to_string(attempt));
        standins::answerJson(answer, { { "clockMs", this->steadyMs() } });
        begunTask = { this->id, this->kind, task, attempt };
    }
    this->begun(*this, begunTask);
}

void FleetWorker::stop(const Request &request, Response &answer)
{
    const json command = standins::parseBody(request);
    const std::string task = command.at("task");
    const std::uint64_t attempt = command.at("attempt");
    const std::scoped_lock lock(this->mutex);
    if (this->down || !this->checkFence(command, answer)) {
        return;
    }
    this->highestAttempt[task] = std::max(this->highestAttempt[task], attempt);
    const auto run = this->running.find(task);
    if (run != this->running.end() && run->second.attempt <= attempt) {
        this->record.line(this->id + " is told to stop " + task);
        this->endRun(task, "stopped");
    }
    standins::answerJson(answer, { { "clockMs", this->steadyMs() } });
}

void FleetWorker::endRun(const std::string &task, const std::string &how)
{
    const Run run = this->running.at(task);
    this->running.erase(task);
    this->record.line(task + " ends on " + this->id + ": " + how);
    this->ended.push_back({ ++this->lastEnd, task, run.attempt, how });
    this->changed.notify_all();
}

void FleetWorker::hold(const Request &request, Response &answer)
{
    const json command = standins::parseBody(request);
    const auto lastSeen = command.value("lastSeen", std::uint64_t { 0 });
    std::unique_lock lock(this->mutex);
    if (this->down || !this->checkFence(command, answer)) {
        return;
    }
    this->extendLease(command);
    std::erase_if(this->ended, [lastSeen](const EndedRun &end) { return end.number <= lastSeen; });
    const std::chrono::milliseconds wait(command.value("waitMs", 0));
    this->changed.wait_for(lock, wait,
                           [this] { return this->closing || this->down || !this->ended.empty(); });
    json runningRows = json::array();
    for (const auto &[task, run] : this->running) {
        const std::int64_t workedMs = this->clock.nowMs() - run.startedAt;
        const std::int64_t percent = run.worksMs < 0
                ? fullPercent
                : std::min<std::int64_t>(fullPercent - 1, fullPercent * workedMs / run.worksMs);
        runningRows.push_back({ task, run.attempt, "", percent, 0 });
    }
    json endedRows = json::array();
    for (const EndedRun &end : this->ended) {
        endedRows.push_back({ end.number, end.task, end.attempt, end.how, "" });
    }
    standins::answerJson(answer,
                         { { "clockMs", this->steadyMs() },
                           { "born", this->born },
                           { "running", runningRows },
                           { "finished", endedRows } });
}

void FleetWorker::crash()
{
    this->record.line(this->id + " crashes with " + std::to_string(this->running.size())
                      + " tasks at work");
    this->crashAt = 0;
    this->down = true;
    this->bootAt = this->clock.nowMs() + this->downMs;
    ++this->life;
    this->running.clear();
    this->highestAttempt.clear();
    this->ended.clear();
    this->changed.notify_all();
}

void FleetWorker::boot()
{
    this->born = this->clock.nowMs();
    this->bootAt = 0;
    this->kind = this->nextKind;
    this->sequence = 0;
    this->fence = 0;
    this->leaseEnd = 0;
    this->lastEnd = 0;
    this->checkInAt = this->born + firstCheckInMs;
    this->record.line(this->id + " has started again, as " + this->kind + ", born "
                      + std::to_string(this->born));
    this->down = false;
}

void FleetWorker::checkIn()
{
    const json capacity = { { "cpu", cpuMilli }, { "memMb", memoryMb } };
    const json entry = { { "service", serviceName },
                         { "address", "127.0.0.1:" + std::to_string(this->port) },
                         { "zone", this->zone },
                         { "version", "1" },
                         { "slots", slots },
                         { "state", "ready" },
                         { "sequence", ++this->sequence },
                         { "capacity", capacity },
                         { "labels", { this->kind, "r1-1" } },
                         { "born", this->born },
                         { "machine", "m-" + this->id } };
    if (this->sequence == 1) {
        this->record.line(this->id + " writes its first entry as " + this->kind + ", born "
                          + std::to_string(this->born));
    }
    this->checkInAt = this->clock.nowMs() + heartbeatMs;
    this->entryWrittenAt = this->clock.nowMs();
    this->hasEntry = true;
    this->store.put("keyed.servers", this->id, entry.dump());
}

void FleetWorker::endTasks()
{
    const bool lapsed = this->steadyMs() >= this->leaseEnd;
    std::vector<std::string> ending;
    for (const auto &[task, run] : this->running) {
        if (lapsed || (run.worksMs >= 0 && this->clock.nowMs() - run.startedAt >= run.worksMs)) {
            ending.push_back(task);
        }
    }
    for (const std::string &task : ending) {
        this->endRun(task, lapsed ? "lapsed" : "done");
    }
}

void FleetWorker::live()
{
    constexpr int lostCheckIns = 3;
    while (!this->closing) {
        std::this_thread::sleep_for(pollInterval);
        this->carryOutLate();
        const std::scoped_lock lock(this->mutex);
        const std::int64_t now = this->clock.nowMs();
        if (this->bootAt != 0 && now >= this->bootAt) {
            this->boot();
        }
        if (this->crashAt != 0 && now >= this->crashAt) {
            this->crash();
        }
        if (this->down) {
            if (this->hasEntry && now >= this->entryWrittenAt + lostCheckIns * heartbeatMs) {
                this->hasEntry = false;
                this->store.put("keyed.servers", this->id, "");
            }
            continue;
        }
        this->endTasks();
        if (now >= this->checkInAt) {
            this->checkIn();
        }
    }
}

} // namespace bulrush::review

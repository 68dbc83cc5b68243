#include "bulrush_steps/model/JobRecords.h"

#include "bulrush_core/errors/Error.h"
#include "bulrush_steps/model/JobLimits.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace bulrush {

ProgressPart progressPartOf(const StepJob &job, const TaskRef &task)
{
    const std::size_t number = job.positionOf(task) / tasksPerProgressPart;
    return { job.id, static_cast<std::uint32_t>(number) };
}

std::uint32_t progressPartCount(const StepJob &job)
{
    const std::size_t full = job.taskCount() / tasksPerProgressPart;
    const std::size_t rest = job.taskCount() % tasksPerProgressPart;
    return static_cast<std::uint32_t>(full + (rest > 0 ? 1 : 0));
}

namespace {

/** How long after an early cancellation its job may be accepted. A submission is repeated, and an
    append carried out, seconds later; the clocks of nodes may differ by more. */
constexpr milliseconds maxSubmissionDelay { minutes(10) };

/** How long after its acceptance a job may be recorded. */
constexpr milliseconds maxRecordDelay { minutes(1) };

} // namespace

bool Cancellation::holdsFor(UnixMillis acceptedAt) const
{
    return !this->earlyAt || acceptedAt - *this->earlyAt <= maxSubmissionDelay.count();
}

bool Cancellation::hasExpired(UnixMillis now) const
{
    constexpr milliseconds kept = maxSubmissionDelay + maxRecordDelay;
    return this->earlyAt && now - *this->earlyAt > kept.count();
}

namespace records {

namespace {

using nlohmann::json;

constexpr int schemaVersion = 1;
constexpr std::string_view jobPrefix = "job/";
constexpr std::string_view laterProgressPrefix = "progress/";
constexpr std::string_view cancellationPrefix = "cancelled/";
constexpr std::string_view ownerName = "owner";
constexpr std::string_view ownerPrefix = "owner/";
constexpr std::string_view resignationName = "resignation";
constexpr std::string_view resignationPrefix = "resignation/";
constexpr std::string_view rosterName = "roster";

/** Returns the number that a key ends with; 0 when it is malformed. */
std::uint64_t parseToken(std::string_view text)
{
    std::uint64_t token = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), token);
    return error == std::errc() && end == text.data() + text.size() ? token : 0;
}

/** Returns what the key of a later part of a job's progress names: its number and the job. */
ParsedKey parseLaterProgress(std::string_view rest)
{
    ParsedKey key;
    const auto [end, error] = std::from_chars(rest.data(), rest.data() + rest.size(), key.part);
    rest.remove_prefix(static_cast<std::size_t>(end - rest.data()));
    if (error != std::errc() || key.part == 0 || !rest.starts_with('/')) {
        return {};
    }
    key.kind = KeyKind::LaterProgress;
    key.job = JobId(rest.substr(1));
    return key;
}

template<class Decode>
auto decodeRecord(std::string_view what, std::string_view value, Decode decode)
{
    try {
        const json record = json::parse(value);
        if (record.at("schema").get<int>() != schemaVersion) {
            throw Error("decode record", what, "unknown schema version");
        }
        return decode(record);
    } catch (const json::exception &error) {
        throw Error("decode record", what, error.what());
    }
}

json encodeStep(const StepSpec &step)
{
    json record = { { "tasks", step.taskCount },
                    { "cpuMilli", step.size.cpuMilli },
                    { "memoryMb", step.size.memoryMb },
                    { "estimateMs", step.estimate.count() } };
    const auto putIf = [&record](const char *name, const auto &value, bool present) {
        if (present) {
            record[name] = value;
        }
    };
    putIf("accelerators", step.size.accelerators, step.size.accelerators != 0);
    putIf("dependsOn", step.dependsOn, !step.dependsOn.empty());
    putIf("checkpoints", true, step.checkpoints);
    putIf("gang", true, step.gang);
    putIf("oneRack", true, step.prefersSingleRack);
    putIf("requiredLabel", step.requiredLabel, !step.requiredLabel.empty());
    putIf("dataRack", step.dataRack, !step.dataRack.empty());
    putIf("mostPerWorker", step.maxPerWorker, step.maxPerWorker != 0);
    putIf("copiesAllowed", true, step.allowsSpeculation);
    putIf("lasting", true, step.runsIndefinitely);
    putIf("image", step.image, !step.image.empty());
    putIf("tailTargetMs", step.tailTarget.count(), step.tailTarget.count() != 0);
    putIf("fills", true, step.fills);
    putIf("mayBeAway", step.maxConcurrentDisruptions, step.maxConcurrentDisruptions != 0);
    return record;
}

StepSpec decodeStep(const json &record)
{
    StepSpec step;
    step.taskCount = record.at("tasks").get<std::uint32_t>();
    step.size.cpuMilli = record.at("cpuMilli").get<std::int64_t>();
    step.size.memoryMb = record.at("memoryMb").get<std::int64_t>();
    step.size.accelerators = record.value("accelerators", std::int64_t { 0 });
    step.estimate = milliseconds(record.at("estimateMs").get<std::int64_t>());
    step.dependsOn = record.value("dependsOn", std::vector<std::uint32_t>());
    step.checkpoints = record.value("checkpoints", false);
    step.gang = record.value("gang", false);
    step.prefersSingleRack = record.value("oneRack", false);
    step.requiredLabel = record.value("requiredLabel", std::string());
    step.dataRack = record.value("dataRack", std::string());
    step.maxPerWorker = record.value("mostPerWorker", 0U);
    step.allowsSpeculation = record.value("copiesAllowed", false);
    step.runsIndefinitely = record.value("lasting", false);
    step.image = record.value("image", std::string());
    step.tailTarget = milliseconds(record.value("tailTargetMs", std::int64_t { 0 }));
    step.fills = record.value("fills", false);
    step.maxConcurrentDisruptions = record.value("mayBeAway", 0U);
    return step;
}

/** Positions of the columns of a task's row that were added later. Earlier versions ignore them. */
constexpr std::size_t crashColumns = 5;
constexpr std::size_t assignmentColumn = 7;
constexpr std::size_t waitColumn = 8;

json encodeTask(const TaskProgress &task)
{
    json row = { task.occurrence, task.step, task.index, task.succeeded, task.failedAttempts };
    const bool isLongRunning = task.assignedTo || task.waitsSince;
    if (isLongRunning || !task.crashedAttempts.empty() || !task.youngCrashes.empty()) {
        row.push_back(task.crashedAttempts);
        row.push_back(task.youngCrashes);
    }
    if (isLongRunning) {
        // Earlier versions require a name here, and wait for no worker whose name is empty.
        row.push_back(task.assignedTo ? task.assignedTo->name() : std::string());
    }
    if (task.waitsSince) {
        row.push_back(*task.waitsSince);
    }
    return row;
}

/** Returns since when a task waits. A malformed time is ignored, so that the rest of the record
    stays in use. */
std::optional<UnixMillis> decodeWait(const json &value)
{
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > maxUnixMillis) {
        return std::nullopt;
    }
    return value.get<UnixMillis>();
}

TaskProgress decodeTask(const json &row)
{
    TaskProgress task;
    task.occurrence = row.at(0).get<std::uint32_t>();
    task.step = row.at(1).get<std::uint32_t>();
    task.index = row.at(2).get<std::uint32_t>();
    task.succeeded = row.at(3).get<bool>();
    task.failedAttempts = row.at(4).get<std::vector<std::uint64_t>>();
    if (row.size() > crashColumns + 1) {
        task.crashedAttempts = row.at(crashColumns).get<std::vector<std::uint64_t>>();
        task.youngCrashes = row.at(crashColumns + 1).get<std::vector<std::uint64_t>>();
    }
    if (row.size() > assignmentColumn) {
        const TargetId worker(row.at(assignmentColumn).get<std::string>());
        task.assignedTo = worker.isEmpty() ? std::nullopt : std::optional(worker);
    }
    if (row.size() > waitColumn) {
        task.waitsSince = decodeWait(row.at(waitColumn));
    }
    return task;
}

} // namespace

std::string jobKey(const JobId &job)
{
    return std::string(jobPrefix) + job.name();
}

std::string progressKey(const ProgressPart &part)
{
    return part.isFirst() ? jobKey(part.job)
                          : std::string(laterProgressPrefix) + std::to_string(part.number) + "/"
                    + part.job.name();
}

std::string cancellationKey(const JobId &job)
{
    return std::string(cancellationPrefix) + job.name();
}

std::string newestOwnerKey()
{
    return std::string(ownerName);
}

std::string ownerKey(std::uint64_t fencingToken)
{
    return std::string(ownerPrefix) + std::to_string(fencingToken);
}

std::string resignationKey(std::uint64_t fencingToken)
{
    return std::string(resignationPrefix) + std::to_string(fencingToken);
}

std::string newestResignationKey()
{
    return std::string(resignationName);
}

std::string rosterKey()
{
    return std::string(rosterName);
}

ParsedKey parseKey(std::string_view key)
{
    if (key.starts_with(jobPrefix)) {
        return { KeyKind::Job, JobId(key.substr(jobPrefix.size())) };
    }
    if (key.starts_with(laterProgressPrefix)) {
        return parseLaterProgress(key.substr(laterProgressPrefix.size()));
    }
    if (key.starts_with(cancellationPrefix)) {
        return { KeyKind::Cancellation, JobId(key.substr(cancellationPrefix.size())) };
    }
    if (key == ownerName) {
        return { KeyKind::Owner, {} };
    }
    if (key.starts_with(ownerPrefix)) {
        return { KeyKind::Owner, {}, parseToken(key.substr(ownerPrefix.size())) };
    }
    if (key == resignationName) {
        return { KeyKind::Resignation, {} };
    }
    if (key.starts_with(resignationPrefix)) {
        return { KeyKind::Resignation, {}, parseToken(key.substr(resignationPrefix.size())) };
    }
    if (key == rosterName) {
        return { KeyKind::Roster, {} };
    }
    return {};
}

std::string encode(const StepJob &job)
{
    json steps = json::array();
    for (const StepSpec &step : job.steps) {
        steps.push_back(encodeStep(step));
    }
    const json record = { { "schema", schemaVersion },
                          { "job", job.id.name() },
                          { "queue", job.queue },
                          { "service", job.service.name() },
                          { "payload", job.payload },
                          { "steps", std::move(steps) },
                          { "occurrences", job.occurrences },
                          { "timed", job.timed },
                          { "firstDueMs", job.firstDue },
                          { "intervalMs", job.interval.count() },
                          { "acceptedAtMs", job.acceptedAt },
                          { "priority", job.priority },
                          { "maxAttempts", job.maxAttempts },
                          { "slackFactor", job.slackFactor },
                          { "latencyTargetMs", job.latencyTarget.count() } };
    return record.dump();
}

StepJob decodeJob(std::string_view value)
{
    return decodeRecord("job", value, [](const json &record) {
        StepJob job;
        job.id = JobId(record.at("job").get<std::string>());
        job.queue = record.at("queue").get<std::string>();
        job.service = ServiceId(record.at("service").get<std::string>());
        job.payload = record.at("payload").get<std::string>();
        for (const json &step : record.at("steps")) {
            job.steps.push_back(decodeStep(step));
        }
        job.occurrences = record.at("occurrences").get<std::uint32_t>();
        job.timed = record.at("timed").get<bool>();
        job.firstDue = record.at("firstDueMs").get<UnixMillis>();
        job.interval = milliseconds(record.at("intervalMs").get<std::int64_t>());
        job.acceptedAt = record.at("acceptedAtMs").get<UnixMillis>();
        job.priority = record.at("priority").get<std::uint32_t>();
        job.maxAttempts = record.at("maxAttempts").get<std::uint32_t>();
        job.slackFactor = record.at("slackFactor").get<double>();
        job.latencyTarget = milliseconds(record.at("latencyTargetMs").get<std::int64_t>());
        return job;
    });
}

std::string encode(const JobProgress &progress)
{
    json tasks = json::array();
    for (const TaskProgress &task : progress.tasks) {
        tasks.push_back(encodeTask(task));
    }
    const json record = { { "schema", schemaVersion },
                          { "succeeded", progress.succeeded },
                          { "failed", progress.failed },
                          { "tasks", std::move(tasks) } };
    return record.dump();
}

JobProgress decodeProgress(std::string_view key, std::string_view value)
{
    return decodeRecord("progress", value, [key](const json &record) {
        JobProgress progress;
        progress.job = parseKey(key).job;
        progress.succeeded = record.at("succeeded").get<bool>();
        progress.failed = record.at("failed").get<bool>();
        const json &rows = record.at("tasks");
        progress.tasks.reserve(rows.size());
        for (const json &row : rows) {
            progress.tasks.push_back(decodeTask(row));
        }
        return progress;
    });
}

std::string encode(const Roster &roster)
{
    json workers = json::array();
    for (const TargetId &worker : roster.workers) {
        workers.push_back(worker.name());
    }
    json owners = json::array();
    for (const OwnerRecord &owner : roster.formerOwners) {
        owners.push_back({ owner.fencingToken, owner.member, owner.recordsAssignments });
    }
    return json {
        { "schema", schemaVersion },
        { "workers", std::move(workers) },
        { "fencingToken", roster.fencingToken },
        { "formerOwners", std::move(owners) },
        { "recordsAssignments", roster.recordsAssignments }
    }.dump();
}

Roster decodeRoster(std::string_view value)
{
    return decodeRecord("roster", value, [](const json &record) {
        Roster roster;
        for (const json &name : record.at("workers")) {
            roster.workers.emplace_back(name.get<std::string>());
        }
        roster.fencingToken = record.value("fencingToken", std::uint64_t { 0 });
        roster.recordsAssignments = record.value("recordsAssignments", false);
        if (!record.contains("formerOwners")) {
            return roster;
        }
        for (const json &owner : record.at("formerOwners")) {
            roster.formerOwners.push_back({ owner.at(0).get<std::uint64_t>(),
                                            owner.at(1).get<std::string>(),
                                            owner.size() > 2 && owner.at(2).get<bool>() });
        }
        return roster;
    });
}

std::string encode(const OwnerRecord &owner)
{
    return json {
        { "schema", schemaVersion },
        { "fencingToken", owner.fencingToken },
        { "member", owner.member },
        { "recordsAssignments", owner.recordsAssignments },
        { "commandsAfterRoster", owner.commandsAfterRoster }
    }.dump();
}

std::string encode(const Cancellation &cancellation)
{
    json record { { "schema", schemaVersion } };
    if (cancellation.earlyAt) {
        record["earlyAt"] = *cancellation.earlyAt;
    }
    return record.dump();
}

Cancellation decodeCancellation(std::string_view value)
{
    Cancellation cancellation;
    const json record = json::parse(value, nullptr, false);
    if (!record.is_object()) {
        return cancellation;
    }
    const auto time = record.find("earlyAt");
    if (time != record.end() && time->is_number_integer()) {
        const UnixMillis earlyAt = time->get<UnixMillis>();
        if (earlyAt >= 0 && earlyAt <= maxUnixMillis) {
            cancellation.earlyAt = earlyAt;
        }
    }
    return cancellation;
}

std::string encodeResignation(const Resignation &resignation)
{
    json unsettled = json::array();
    milliseconds longest { 0 };
    for (const UnsettledOwner &former : resignation.unsettled) {
        unsettled.push_back(
                { former.fencingToken, former.left.count(), former.recordsAssignments });
        longest = std::max(longest, former.left);
    }
    // Earlier versions read unsettledMs only.
    return json {
        { "schema", schemaVersion },
        { "fencingToken", resignation.fencingToken },
        { "unsettledMs", longest.count() },
        { "unsettled", std::move(unsettled) }
    }.dump();
}

Resignation decodeResignation(std::string_view value)
{
    return decodeRecord("resignation", value, [](const json &record) {
        Resignation resignation;
        resignation.fencingToken = record.at("fencingToken").get<std::uint64_t>();
        if (!record.contains("unsettled")) {
            const milliseconds left(record.at("unsettledMs").get<std::int64_t>());
            resignation.unsettled.push_back({ 0, left });
            return resignation;
        }
        for (const json &former : record.at("unsettled")) {
            const milliseconds left(former.at(1).get<std::int64_t>());
            resignation.unsettled.push_back({ former.at(0).get<std::uint64_t>(), left,
                                              former.size() > 2 && former.at(2).get<bool>() });
        }
        return resignation;
    });
}

OwnerRecord decodeOwner(std::string_view value)
{
    return decodeRecord("owner", value, [](const json &record) {
        return OwnerRecord { record.at("fencingToken").get<std::uint64_t>(),
                             record.value("member", std::string()),
                             record.value("recordsAssignments", false),
                             record.value("commandsAfterRoster", false) };
    });
}

} // namespace records

} // namespace bulrush

#include "ConfigWorld.h"

#include <algorithm>

namespace bulrush::test {

namespace {

std::string bodyFor(const std::string &kind, const std::string &name, const std::string &schema,
                    std::int64_t value)
{
    const std::string number = std::to_string(value);
    if (kind == "quota") {
        return R"({"team":")" + name + R"(","cpuMilli":)" + number
                + R"(,"memoryMb":1000,"accelerators":0})";
    }
    if (kind == "job") {
        return R"({"team":"kask","tasks":)" + number
                + R"(,"batchClass":"risk","cpuMilli":500,"memoryMb":100,"runMs":60000})";
    }
    if (kind == "cancellation") {
        return R"({"job":")" + name + "\"}";
    }
    const std::string replicas = schema == "service/1" ? "" : R"(,"replicas":3)";
    return R"({"team":"kask","targets":[],"deadlineMs":)" + number + replicas + "}";
}

std::string statusName(FollowStatus status)
{
    switch (status) {
    case FollowStatus::Unknown:
        return "unknown";
    case FollowStatus::CatchingUp:
        return "catching-up";
    case FollowStatus::Current:
        return "current";
    case FollowStatus::Truncated:
        break;
    }
    return "truncated";
}

} // namespace

void ConfigWorld::bindTo(scenario::Interpreter &interpreter)
{
    const auto bind = [this, &interpreter](const char *verb,
                                           void (ConfigWorld::*action)(const Step &)) {
        interpreter.bind(verb, [this, action](const Step &step) { (this->*action)(step); });
    };
    bind("node", &ConfigWorld::addNode);
    bind("publish", &ConfigWorld::publish);
    bind("fill", &ConfigWorld::fill);
    bind("job-done", &ConfigWorld::finish);
    bind("snapshot", &ConfigWorld::writeSnapshot);
    bind("peer-state", &ConfigWorld::copyState);
    bind("retain-last", &ConfigWorld::retain);
    bind("read", &ConfigWorld::readAll);
    bind("expect-force", &ConfigWorld::expectForce);
    bind("expect-verdict", &ConfigWorld::expectVerdict);
    bind("expect-accepted-by", &ConfigWorld::expectAcceptedBy);
    bind("expect-status", &ConfigWorld::expectStatus);
    interpreter.bind("cut", [this](const Step &step) { this->cutOff.insert(step.argument(0)); });
    interpreter.bind("heal", [this](const Step &step) { this->cutOff.erase(step.argument(0)); });
    interpreter.bind("step-clock", [this](const Step &step) {
        this->clock.stepCalendar(seconds(step.number(0)));
    });
    interpreter.bind("expect-same", [this](const Step &step) {
        step.require(this->node(step, step.argument(0)).follower.state().exportText()
                             == this->node(step, step.argument(1)).follower.state().exportText(),
                     "the states differ");
    });
    interpreter.bind("expect-no-snapshot", [this](const Step &step) {
        bool refused = false;
        try {
            snapshotParts(this->node(step, step.argument(0)).follower.state());
        } catch (const Error &) {
            refused = true;
        }
        step.require(refused, "a snapshot was written");
    });
    interpreter.bind("expect-unsettled", [this](const Step &step) {
        const auto count = static_cast<std::int64_t>(
                this->node(step, step.argument(0)).follower.state().unsettled().size());
        step.require(count == step.number(1), "unsettled names: " + std::to_string(count));
    });
}

void ConfigWorld::addNode(const Step &step)
{
    const std::string knows = step.option("knows", "");
    SchemaCeiling ceiling;
    if (!knows.empty()) {
        const std::size_t slash = knows.find('/');
        ceiling[knows.substr(0, slash)] = std::stoi(knows.substr(slash + 1));
    }
    this->nodes.insert_or_assign(step.argument(0),
                                 Node { step.option("dc", "dc1"), LogFollower(ceiling), {} });
}

/** publish KIND NAME at=NODE [id=ID] [supersedes=ID] [value=N] [schema=S] [answer=lost] */
void ConfigWorld::publish(const Step &step)
{
    const std::string &kind = step.argument(0);
    const std::string &name = step.argument(1);
    const std::string publisher = step.option("at", "");
    const RecordState &seen = this->node(step, publisher).follower.state();
    const std::string timeId = "t" + std::to_string(this->clock.calendarTime());
    const std::string schema = step.option("schema", kind + "/1");
    const Record record { schema,
                          kind,
                          name,
                          step.option("id", timeId),
                          step.option("supersedes", seen.headId(kind, name)),
                          publisher,
                          bodyFor(kind, name, schema, step.numberOption("value", 5)) };
    this->append(record.text());
    if (step.option("answer", "") == "lost") {
        this->append(record.text());
    }
}

/** fill COUNT at=NODE: publishes COUNT services. */
void ConfigWorld::fill(const Step &step)
{
    for (std::int64_t number = 0; number < step.number(0); ++number) {
        const std::string name = "s" + std::to_string(number);
        const Record record { "service/2",
                              "service",
                              name,
                              name,
                              "",
                              step.option("at", ""),
                              bodyFor("service", name, "service/2", 5) };
        this->append(record.text());
    }
}

/** job-done NAME at=NODE id=ID [answer=lost] */
void ConfigWorld::finish(const Step &step)
{
    const std::string owner = step.option("at", "");
    const Record *job =
            this->node(step, owner).follower.state().find(RecordKind::Job, step.argument(0));
    step.require(job != nullptr, "the job is not in force");
    const Record done =
            jobDoneRecord(*job, step.option("id", ""), NodeId(owner), JobOutcome::Finished);
    this->append(done.text());
    if (step.option("answer", "") == "lost") {
        this->append(done.text());
    }
}

/** snapshot NODE [parts=N]: appends the first N parts, or all. */
void ConfigWorld::writeSnapshot(const Step &step)
{
    const auto parts = snapshotParts(this->node(step, step.argument(0)).follower.state());
    const auto count = step.numberOption("parts", static_cast<std::int64_t>(parts.size()));
    for (std::size_t part = 0; part < static_cast<std::size_t>(count); ++part) {
        this->append(parts.at(part));
    }
}

/** peer-state FROM TO */
void ConfigWorld::copyState(const Step &step)
{
    const std::string text = this->node(step, step.argument(0)).follower.state().exportText();
    LogFollower &follower = this->node(step, step.argument(1)).follower;
    const LogOffset before = follower.state().nextOffset();
    follower.adoptPeerState(text);
    step.require(follower.state().nextOffset() >= before, "the offset in force went back");
}

void ConfigWorld::retain(const Step &step)
{
    const auto kept = static_cast<LogOffset>(step.number(0));
    this->firstRetained = this->log.size() - std::min<LogOffset>(kept, this->log.size());
}

/** read [NODE]: reads the log up to its end on this node, or on every node. */
void ConfigWorld::readAll(const Step &step)
{
    if (step.argumentCount() > 0) {
        this->read(step, this->node(step, step.argument(0)));
        return;
    }
    for (auto &[name, reader] : this->nodes) {
        this->read(step, reader);
    }
}

void ConfigWorld::read(const Step &step, Node &reader)
{
    if (this->cutOff.count(reader.dataCentre) > 0) {
        return;
    }
    LogOffset before = 0;
    do {
        before = reader.follower.readOffset();
        this->readPage(step, reader);
    } while (reader.follower.readOffset() != before);
}

void ConfigWorld::readPage(const Step &step, Node &reader)
{
    LogPage page { this->firstRetained, this->log.size(), {} };
    const LogOffset from = std::max(reader.follower.readOffset(), this->firstRetained);
    for (LogOffset offset = from; offset < page.end && offset < from + this->pageSize; ++offset) {
        page.entries.push_back({ offset, this->log[offset] });
    }
    const LogOffset inForce = reader.follower.state().nextOffset();
    for (const Verdict &verdict : reader.follower.applyPage(page)) {
        reader.verdicts.emplace(verdict.id, verdict);
    }
    step.require(reader.follower.state().nextOffset() >= inForce, "the offset in force went back");
}

/** expect-force NODE KIND NAME ID, where "-" means none */
void ConfigWorld::expectForce(const Step &step)
{
    const auto kind = kindFromName(step.argument(1));
    step.require(kind.has_value(), "unknown kind");
    const Record *record =
            this->node(step, step.argument(0)).follower.state().find(*kind, step.argument(2));
    const std::string seen = record == nullptr ? "-" : record->id;
    step.require(seen == step.argument(3), "in force is " + seen);
}

/** expect-verdict NODE ID OUTCOME [winner=ID] */
void ConfigWorld::expectVerdict(const Step &step)
{
    const Node &reader = this->node(step, step.argument(0));
    const auto verdict = reader.verdicts.find(step.argument(1));
    step.require(verdict != reader.verdicts.end(), "no verdict was given");
    const std::string outcome(outcomeName(verdict->second.outcome));
    step.require(outcome == step.argument(2), "was " + outcome + ": " + verdict->second.reason);
    const std::string winner = step.option("winner", verdict->second.winner);
    step.require(winner == verdict->second.winner, "the winner was " + verdict->second.winner);
}

/**
    expect-accepted-by OLD NEW: checks that NEW refused, held or ignored no service record in force
    on OLD, and that NEW has the same records in force if OLD has no unsettled names.
*/
void ConfigWorld::expectAcceptedBy(const Step &step)
{
    const RecordState &older = this->node(step, step.argument(0)).follower.state();
    const Node &newer = this->node(step, step.argument(1));
    const std::vector<ChainKey> unsettled = older.unsettled();
    for (const Record *record : older.inForce(RecordKind::Service)) {
        const auto verdict = newer.verdicts.find(record->id);
        step.require(verdict == newer.verdicts.end()
                             || verdict->second.outcome == RecordOutcome::Accepted,
                     "in force was never accepted: " + record->id);
        if (unsettled.empty()) {
            const Record *other = newer.follower.state().find(RecordKind::Service, record->name);
            step.require(other != nullptr && other->id == record->id, "the nodes differ");
        }
    }
}

void ConfigWorld::expectStatus(const Step &step)
{
    const std::string status = statusName(this->node(step, step.argument(0)).follower.status());
    step.require(status == step.argument(1), "the status is " + status);
}

ConfigWorld::Node &ConfigWorld::node(const Step &step, const std::string &name)
{
    const auto found = this->nodes.find(name);
    step.require(found != this->nodes.end(), "no node " + name);
    return found->second;
}

void ConfigWorld::append(const std::string &text)
{
    this->log.push_back(text);
}

} // namespace bulrush::test

#include "KeyWorld.h"

#include <algorithm>
#include <array>

namespace bulrush::test {

namespace {

constexpr std::array kindNames { "send",        "not-run",         "not-sent", "in-progress",
                                 "already-run", "outcome-unknown", "bad-key" };

std::string kindText(const KeyAnswer &answer)
{
    return kindNames.at(static_cast<std::size_t>(answer.kind));
}

} // namespace

void KeyWorld::bindTo(scenario::Interpreter &interpreter)
{
    const auto bind = [&](const char *verb, void (KeyWorld::*action)(const Step &)) {
        interpreter.bind(verb, [this, action](const Step &step) { (this->*action)(step); });
    };
    bind("node", &KeyWorld::addNode);
    bind("arrive", &KeyWorld::arrive);
    bind("append", &KeyWorld::append);
    bind("read", &KeyWorld::read);
    bind("log", &KeyWorld::setLog);
    bind("end", &KeyWorld::end);
    bind("retain-last", &KeyWorld::retainLast);
    bind("advance", &KeyWorld::advance);
    bind("expect", &KeyWorld::expect);
    interpreter.bind("step-clock", [this](const Step &step) {
        this->clock.stepCalendar(seconds(step.number(0)));
    });
    interpreter.bind("delayed-append-arrives", [this](const Step &) {
        this->log.insert(this->log.end(), this->delayed.begin(), this->delayed.end());
        this->delayed.clear();
    });
    interpreter.bind("expect-runs", [this](const Step &step) {
        const int seen = this->runs[this->key(step.argument(0))];
        step.require(seen == step.number(1), "runs: " + std::to_string(seen));
    });
}

/** node NAME: adds a node, or replaces the one of this name. */
void KeyWorld::addNode(const Step &step)
{
    this->nodes.erase(step.argument(0));
    this->nodes.try_emplace(step.argument(0));
}

/** arrive NODE ARRIVAL KEY [age=SECONDS] [first=yes] */
void KeyWorld::arrive(const Step &step)
{
    Node &fakeNode = this->node(step, step.argument(0));
    const std::string &arrival = step.argument(1);
    const std::string text = this->key(step.argument(2), step.numberOption("age", 0));
    this->keyOfArrival[arrival] = text;
    this->nodeOfArrival[arrival] = step.argument(0);
    fakeNode.admission.addArrival(arrival, text, step.has("first"), this->clock.now(),
                                  this->clock.calendarTime());
    this->takeAnswers(step, fakeNode);
}

/** append NODE [stored|lost|vanished|delayed|refused]: the node receives no answer if the append is
    lost (the entry is stored), vanished (it is not stored) or delayed (it is stored by
    delayed-append-arrives). */
void KeyWorld::append(const Step &step)
{
    Node &fakeNode = this->node(step, step.argument(0));
    const std::string outcome = step.argumentCount() > 1 ? step.argument(1) : "stored";
    const std::optional<KeyAppend> append =
            fakeNode.admission.nextAppend(this->clock.calendarTime());
    if (!append) {
        return;
    }
    if (outcome == "stored" || outcome == "lost") {
        this->log.push_back(append->text);
    } else if (outcome == "delayed") {
        this->delayed.push_back(append->text);
    }
    const AppendResult result = outcome == "stored" ? AppendResult::Stored
            : outcome == "refused"                  ? AppendResult::NotStored
                                                    : AppendResult::Lost;
    fakeNode.admission.appendEnded(append->number, result);
    this->takeAnswers(step, fakeNode);
}

/** read [NODE]: reads to the end of the log if the node can reach it. */
void KeyWorld::read(const Step &step)
{
    for (auto &[name, reader] : this->nodes) {
        if (step.argumentCount() == 0 || step.argument(0) == name) {
            this->readInto(step, reader);
        }
    }
}

void KeyWorld::readInto(const Step &step, Node &reader)
{
    if (!reader.canReachLog) {
        return;
    }
    const UnixSeconds calendar = this->clock.calendarTime();
    std::uint64_t offset = std::max(reader.admission.table().nextOffset(), this->firstRetained);
    for (; offset < this->log.size(); ++offset) {
        reader.admission.applyEntry(offset, this->log[offset], calendar);
    }
    reader.admission.setLogRange(this->firstRetained, this->log.size(), calendar);
    this->takeAnswers(step, reader);
}

/** log NODE up|down */
void KeyWorld::setLog(const Step &step)
{
    Node &fakeNode = this->node(step, step.argument(0));
    fakeNode.canReachLog = step.argument(1) == "up";
    fakeNode.admission.setLogAvailable(fakeNode.canReachLog);
    this->takeAnswers(step, fakeNode);
}

/** end ARRIVAL answered|never-sent|unknown [status=N] */
void KeyWorld::end(const Step &step)
{
    const std::string &arrival = step.argument(0);
    const auto answer = this->answers.find(arrival);
    if (answer == this->answers.end() || answer->second.kind != KeyAnswerKind::Send) {
        return;
    }
    const std::string &outcome = step.argument(1);
    const SendResult result = outcome == "answered" ? SendResult::Answered
            : outcome == "never-sent"               ? SendResult::NeverSent
                                                    : SendResult::Unknown;
    if (result == SendResult::NeverSent) {
        --this->runs[this->keyOfArrival[arrival]];
    }
    this->answers.erase(answer);
    Node &fakeNode = this->node(step, this->nodeOfArrival[arrival]);
    fakeNode.admission.requestEnded(arrival, result,
                                    static_cast<int>(step.numberOption("status", 200)));
    this->takeAnswers(step, fakeNode);
}

void KeyWorld::retainLast(const Step &step)
{
    const auto kept = static_cast<std::uint64_t>(step.number(0));
    const std::uint64_t first = this->log.size() - std::min<std::uint64_t>(kept, this->log.size());
    this->firstRetained = std::max(this->firstRetained, first);
}

void KeyWorld::advance(const Step &step)
{
    this->clock.advance(step.duration(0));
    for (auto &[name, fakeNode] : this->nodes) {
        fakeNode.admission.tick(this->clock.now(), this->clock.calendarTime());
        this->takeAnswers(step, fakeNode);
    }
}

/** expect ARRIVAL KIND [status=N]; KIND "-" means no answer yet */
void KeyWorld::expect(const Step &step)
{
    const auto answer = this->answers.find(step.argument(0));
    const bool isKnown = answer != this->answers.end();
    const std::string seen = isKnown ? kindText(answer->second) : "-";
    step.require(seen == step.argument(1), "the answer was " + seen);
    step.require(
            !isKnown || answer->second.status == step.numberOption("status", answer->second.status),
            "another status");
}

KeyWorld::Node &KeyWorld::node(const Step &step, const std::string &name)
{
    const auto found = this->nodes.find(name);
    step.require(found != this->nodes.end(), "no node " + name);
    return found->second;
}

/** Returns a key's text; the key is issued when it is first used. */
std::string KeyWorld::key(const std::string &name, std::int64_t age)
{
    const std::string text = std::to_string(this->clock.calendarTime() - age) + "-" + name;
    return this->keys.emplace(name, text).first->second;
}

void KeyWorld::takeAnswers(const Step &step, Node &from)
{
    for (const KeyAnswer &answer : from.admission.takeAnswers()) {
        int &ran = this->runs[this->keyOfArrival[answer.arrival]];
        if (answer.kind == KeyAnswerKind::Send) {
            ++ran;
            step.require(ran == 1, "the work of one key runs twice");
        }
        step.require(answer.kind != KeyAnswerKind::NotRun || ran == 0,
                     "\"not run\" was said of work that ran");
        this->answers.insert_or_assign(answer.arrival, answer);
    }
}

} // namespace bulrush::test

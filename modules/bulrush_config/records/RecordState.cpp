#include "bulrush_config/records/RecordState.h"

#include "bulrush_config/snapshots/Snapshot.h"
#include "bulrush_core/errors/Error.h"

#include <algorithm>
#include <array>

namespace bulrush {

namespace {

/** The kinds that share one namespace: a job, a watcher, their cancellation and end. */
constexpr std::array<std::string_view, 4> workKinds { "job", "watcher", "cancellation",
                                                      "job-done" };

constexpr std::string_view heldReason = "an earlier record of the name needs newer software";

bool isWorkKind(std::string_view kind)
{
    return std::find(workKinds.begin(), workKinds.end(), kind) != workKinds.end();
}

Verdict verdictOn(LogOffset offset, const Record &record)
{
    Verdict verdict;
    verdict.offset = offset;
    verdict.kind = record.kind;
    verdict.name = record.name;
    verdict.id = record.id;
    verdict.supersedes = record.supersedes;
    verdict.publisher = record.publisher;
    return verdict;
}

Verdict with(Verdict verdict, RecordOutcome outcome, std::string_view reason)
{
    verdict.outcome = outcome;
    verdict.reason = reason;
    return verdict;
}

} // namespace

Verdict RecordState::apply(LogOffset offset, std::string_view text)
{
    Verdict verdict;
    verdict.offset = offset;
    if (offset < this->next) {
        return with(verdict, RecordOutcome::Ignored, "the offset is in force already");
    }
    if (offset > this->next) {
        throw Error("apply record", std::to_string(offset),
                    "offset " + std::to_string(this->next) + " is missing");
    }
    this->next = offset + 1;
    this->removeExpiredChains(offset);
    if (isSnapshotPart(text)) {
        return with(verdict, RecordOutcome::Ignored, "part of a snapshot");
    }
    const CheckedRecord checked = checkRecord(text, this->ceiling);
    if (!checked.record) {
        return with(verdict, RecordOutcome::Refused, checked.problem->text());
    }
    return this->judge(offset, checked);
}

Verdict RecordState::judge(LogOffset offset, const CheckedRecord &checked)
{
    const Record &record = *checked.record;
    Verdict verdict = verdictOn(offset, record);
    if (record.kind == kindName(RecordKind::JobDone) && !checked.isNewer) {
        return checked.problem ? with(verdict, RecordOutcome::Refused, checked.problem->text())
                               : this->judgeJobDone(record, verdict);
    }
    const ChainKey key { record.kind, record.name };
    Chain *chain = this->findChain(record.kind, record.name);
    if (chain == nullptr) {
        if (!record.supersedes.empty()) {
            return this->refuseWrongPredecessor(nullptr, verdict);
        }
        if (this->chains.size() >= maxChains) {
            return with(verdict, RecordOutcome::Refused, "too many names");
        }
        chain = &this->chains[key];
    }
    const auto isRepetition = [&record](const Verdict &earlier) {
        return earlier.id == record.id && earlier.outcome == RecordOutcome::Accepted;
    };
    if (std::any_of(chain->history.begin(), chain->history.end(), isRepetition)) {
        return with(verdict, RecordOutcome::Ignored, "the record was applied already");
    }
    if (isWorkKind(key.kind) && this->isWorkUnsettled(key.name, key.kind)) {
        chain->standing = Standing::Held;
    }
    verdict = this->judgeSuccessor(*chain, checked, verdict);
    chain->history.push_back(verdict);
    if (chain->history.size() > historyLength) {
        chain->history.erase(chain->history.begin());
    }
    return verdict;
}

Verdict RecordState::judgeSuccessor(Chain &chain, const CheckedRecord &checked,
                                    const Verdict &verdict)
{
    const Record &record = *checked.record;
    if (chain.standing == Standing::Held) {
        return with(verdict, RecordOutcome::Held, heldReason);
    }
    if (chain.standing == Standing::Waiting) {
        return this->judgeWaiting(chain, checked, verdict);
    }
    const bool supersedesRefused =
            !chain.refusedSuccessorId.empty() && record.supersedes == chain.refusedSuccessorId;
    if (record.supersedes != chain.headId && !supersedesRefused) {
        return this->refuseWrongPredecessor(&chain, verdict);
    }
    std::optional<std::string> refusal;
    if (checked.problem) {
        refusal = checked.problem->text();
    } else {
        refusal = this->conflict(record);
    }
    updateRunId(chain, record, !refusal);
    if (!refusal) {
        chain.inForce = record;
        chain.headId = record.id;
        chain.refusedSuccessorId.clear();
        chain.finishedAt.reset();
        return with(verdict, RecordOutcome::Accepted, "");
    }
    if (checked.isNewer) {
        chain.standing = Standing::Waiting;
        chain.possibleHeadIds = { chain.headId };
    }
    chain.refusedSuccessorId = record.id;
    return with(verdict, RecordOutcome::Refused, *refusal);
}

/** Updates the run's id. A refused record that its successor supersedes counts as the first of the
    run: newer software may have accepted it, and all nodes must give the run the same id. */
void RecordState::updateRunId(Chain &chain, const Record &record, bool accepted)
{
    if (chain.inForce) {
        return;
    }
    const bool continuesRefusedRun =
            !chain.nextRunId.empty() && record.supersedes == chain.refusedSuccessorId;
    std::string first = continuesRefusedRun ? chain.nextRunId : record.id;
    if (accepted) {
        chain.runId = std::move(first);
        chain.nextRunId.clear();
    } else {
        chain.nextRunId = std::move(first);
    }
}

Verdict RecordState::judgeWaiting(Chain &chain, const CheckedRecord &checked,
                                  const Verdict &verdict)
{
    const Record &record = *checked.record;
    const std::vector<std::string> &possibleHeads = chain.possibleHeadIds;
    if (std::find(possibleHeads.begin(), possibleHeads.end(), record.supersedes)
        != possibleHeads.end()) {
        chain.standing = Standing::Held;
        return with(verdict, RecordOutcome::Held, heldReason);
    }
    if (record.supersedes != chain.refusedSuccessorId) {
        return this->refuseWrongPredecessor(&chain, verdict);
    }
    if (checked.problem || this->conflict(record)) {
        chain.possibleHeadIds.push_back(std::exchange(chain.refusedSuccessorId, record.id));
        return with(verdict, RecordOutcome::Refused,
                    checked.problem ? checked.problem->text() : *this->conflict(record));
    }
    chain.standing = Standing::Settled;
    chain.possibleHeadIds.clear();
    return this->judgeSuccessor(chain, checked, verdict);
}

Verdict RecordState::judgeJobDone(const Record &done, const Verdict &verdict)
{
    for (const std::string_view kind : { workKinds[0], workKinds[1] }) {
        Chain *chain = this->findChain(kind, done.name);
        if (chain != nullptr && this->isWorkUnsettled(done.name, "")) {
            chain->standing = Standing::Held;
            return with(verdict, RecordOutcome::Held, "the job needs newer software");
        }
        if (chain == nullptr || chain->headId != done.supersedes) {
            continue;
        }
        if (!chain->inForce) {
            return with(verdict, RecordOutcome::Ignored, "the job has ended already");
        }
        this->finish({ std::string(kind), done.name }, verdict.offset);
        this->finish({ "cancellation", done.name }, verdict.offset);
        return with(verdict, RecordOutcome::Accepted, "");
    }
    return with(verdict, RecordOutcome::Refused, "no such job is in force");
}

Verdict RecordState::refuseWrongPredecessor(const Chain *chain, Verdict verdict) const
{
    if (chain == nullptr || chain->headId.empty()) {
        return with(verdict, RecordOutcome::Refused,
                    "/supersedes: found \"" + verdict.supersedes
                            + "\", expected \"\" as nothing of this name is in force");
    }
    verdict.winner = chain->headId;
    verdict.winnerPublisher = chain->inForce ? chain->inForce->publisher : "";
    return with(verdict, RecordOutcome::Refused,
                "/supersedes: found \"" + verdict.supersedes + "\", expected \"" + chain->headId
                        + "\", which was there first");
}

std::optional<std::string> RecordState::conflict(const Record &record) const
{
    const bool isCancelled = this->isInForce("cancellation", record.name);
    if (record.kind == "job" || record.kind == "watcher") {
        if (this->isInForce(record.kind == "job" ? "watcher" : "job", record.name)) {
            return "/name: found the name of a job or watcher in force, expected another";
        }
        if (isCancelled) {
            return "/name: found a job that is cancelled, expected one that is not";
        }
    }
    const bool isCancellation = record.kind == "cancellation";
    if (isCancellation && !this->isInForce("job", record.name)
        && !this->isInForce("watcher", record.name)) {
        return "/body/job: found \"" + record.name + "\", expected a job or watcher in force";
    }
    return std::nullopt;
}

bool RecordState::isWorkUnsettled(std::string_view name, std::string_view exceptKind) const
{
    return std::any_of(workKinds.begin(), workKinds.end(), [&](std::string_view kind) {
        const Chain *chain = this->findChain(kind, name);
        return kind != exceptKind && chain != nullptr && chain->standing != Standing::Settled;
    });
}

bool RecordState::isInForce(std::string_view kind, std::string_view name) const
{
    const Chain *chain = this->findChain(kind, name);
    return chain != nullptr && chain->inForce.has_value();
}

RecordState::Chain *RecordState::findChain(std::string_view kind, std::string_view name)
{
    const auto found = this->chains.find({ std::string(kind), std::string(name) });
    return found == this->chains.end() ? nullptr : &found->second;
}

const RecordState::Chain *RecordState::findChain(std::string_view kind, std::string_view name) const
{
    const auto found = this->chains.find({ std::string(kind), std::string(name) });
    return found == this->chains.end() ? nullptr : &found->second;
}

void RecordState::finish(const ChainKey &key, LogOffset offset)
{
    const auto found = this->chains.find(key);
    if (found == this->chains.end() || found->second.standing != Standing::Settled) {
        return;
    }
    found->second.inForce.reset();
    found->second.finishedAt = offset;
    this->finished.emplace_back(offset, key);
}

void RecordState::removeExpiredChains(LogOffset offset)
{
    while (!this->finished.empty() && this->finished.front().first + finishedRetention < offset) {
        const auto &[finishedAt, key] = this->finished.front();
        const auto found = this->chains.find(key);
        if (found != this->chains.end() && found->second.finishedAt == finishedAt
            && found->second.standing == Standing::Settled) {
            this->chains.erase(found);
        }
        this->finished.pop_front();
    }
}

const Record *RecordState::find(RecordKind kind, std::string_view name) const
{
    const Chain *chain = this->findChain(kindName(kind), name);
    return chain != nullptr && chain->inForce ? &*chain->inForce : nullptr;
}

std::vector<const Record *> RecordState::inForce(RecordKind kind) const
{
    std::vector<const Record *> records;
    const std::string wanted(kindName(kind));
    for (auto at = this->chains.lower_bound({ wanted, "" });
         at != this->chains.end() && at->first.kind == wanted; ++at) {
        if (at->second.inForce) {
            records.push_back(&*at->second.inForce);
        }
    }
    return records;
}

std::string RecordState::headId(std::string_view kind, std::string_view name) const
{
    const Chain *chain = this->findChain(kind, name);
    if (chain == nullptr) {
        return {};
    }
    return chain->standing == Standing::Waiting ? chain->refusedSuccessorId : chain->headId;
}

std::string RecordState::runId(std::string_view name) const
{
    std::string last;
    LogOffset lastEnd = 0;
    for (const std::string_view kind : { workKinds[0], workKinds[1] }) {
        const Chain *chain = this->findChain(kind, name);
        if (chain == nullptr) {
            continue;
        }
        if (chain->inForce) {
            return chain->runId;
        }
        if (chain->finishedAt.value_or(0) >= lastEnd) {
            last = chain->runId;
            lastEnd = chain->finishedAt.value_or(0);
        }
    }
    return last;
}

std::vector<Verdict> RecordState::history(std::string_view kind, std::string_view name) const
{
    const Chain *chain = this->findChain(kind, name);
    if (chain == nullptr) {
        return {};
    }
    return chain->history;
}

std::vector<ChainKey> RecordState::unsettled() const
{
    std::vector<ChainKey> keys;
    for (const auto &[key, chain] : this->chains) {
        if (chain.standing != Standing::Settled) {
            keys.push_back(key);
        }
    }
    return keys;
}

} // namespace bulrush

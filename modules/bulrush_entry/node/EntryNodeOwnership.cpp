// The part of EntryNode that takes the ownership over, follows the log as the owner, and gives the
// ownership up.

#include "bulrush_entry/node/EntryNode.h"

#include "bulrush_core/errors/Error.h"
#include "bulrush_entry/owner/FormerOwnership.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace bulrush {

namespace {

/** How long the store holds a long poll for new jobs. */
constexpr milliseconds jobsPollWait { 1000 };

/** Delay before the next poll for jobs after one that failed. */
constexpr milliseconds jobsRetryDelay { 100 };

/** Delay between two readings of the records by a node that may become the owner soon, so that few
    are left to read in a takeover, and the delay after a reading that failed. */
constexpr milliseconds standbyReadInterval { 2000 };
constexpr milliseconds standbyRetryDelay { 500 };

/** How long ago the records may have been read for a node to join the group. */
constexpr milliseconds maxRecordsAge { 4000 };

/** Timeout of one attempt to record a resignation in the log, and delay before the next. A
   successor that reads the record does not have to wait for all orders that the resigned owner
   might have sent. */
constexpr milliseconds resignationTimeout { 500 };
constexpr int maxResignationAttempts = 6;

} // namespace

void EntryNode::refreshStandbyView()
{
    const Instant now = this->clock.now();
    const bool standsBy = (this->ownership.isMember() || this->ownership.isCandidate())
            && !this->dispatcher.active() && !this->takeover.running() && !this->health.checkLost();
    if (!standsBy || this->standbyReadRuns || now < this->nextStandbyRead) {
        return;
    }
    this->standbyReadRuns = true;
    this->view.refresh([this](bool succeeded) {
        this->standbyReadRuns = false;
        const Instant readAt = this->clock.now();
        this->nextStandbyRead = readAt + (succeeded ? standbyReadInterval : standbyRetryDelay);
        if (succeeded) {
            this->recordsReadAt = readAt;
        }
    });
}

bool EntryNode::recordsAreCurrent() const
{
    return this->recordsReadAt && this->clock.now() - *this->recordsReadAt <= maxRecordsAge;
}

std::uint32_t EntryNode::milliCoresOf(std::string_view member) const
{
    const std::optional<MemberName> parsed = MemberName::parse(member);
    return parsed ? parsed->milliCores : 0;
}

bool EntryNode::mayHandOver() const
{
    return this->dispatcher.isSettled() && this->config.evacuations().all().empty()
            && !this->requestHandler.storeIsSlow();
}

void EntryNode::ownershipGained(std::uint64_t fencingToken)
{
    this->metrics.setOwner(true);
    this->gainedAt = this->clock.now();
    // The list of workers is long, so it is read beside the records.
    this->workers.restart();
    this->takeover.begin(
            fencingToken, this->ownership.memberName(),
            [this](LogOffset markOffset) { this->takeoverDone(markOffset); },
            [this] { this->ownership.superseded("the store reports a newer owner"); });
}

void EntryNode::takeoverDone(LogOffset markOffset)
{
    const OwnershipTimings times = this->settings.ownershipTimes();
    OwnershipTerm term;
    term.fencingToken = this->ownership.fencingToken();
    term.gainedAt = this->gainedAt;
    term.previousOwnerSettledAt = this->gainedAt + times.previousOwnerSettleTime();
    term.unreadyOwnerSettledAt = this->gainedAt + times.unreadyOwnerSettleTime();
    term.resignedOwnerSettleTime = times.resignedOwnerSettleTime();
    this->dispatcher.begin(term, this->view.jobTable());
    if (this->config.config()) {
        this->dispatcher.configure(*this->config.config());
    }
    StreamReader::Listener &records = *this;
    this->jobs = std::make_shared<StreamReader>(this->store, LogStream::Jobs, records);
    this->jobs->startAt(this->view.nextJobOffset());
    const Duration elapsed = this->clock.now() - this->gainedAt;
    this->metrics.recordTakeover("ready", elapsed);
    this->decisions.write(
            DecisionLine(Event::OwnerReady)
                    .with("fencing_token", term.fencingToken)
                    .with("jobs", static_cast<std::int64_t>(this->view.jobTable().entries().size()))
                    .with("mark_offset", markOffset)
                    .with("took_ms", duration_cast<milliseconds>(elapsed).count()));
}

void EntryNode::ownershipLost(std::string_view /*reason*/)
{
    this->metrics.setOwner(false);
    this->metrics.setServedShares({});
    this->metrics.setHeldTasks({});
    if (this->takeover.running()) {
        this->metrics.recordTakeover("abandoned", this->clock.now() - this->gainedAt);
        // It has sent no command, so nobody needs to wait for it.
        this->appendUntilStored({ { records::ownerKey(this->ownership.fencingToken()), {}, 0 } },
                                maxResignationAttempts);
    }
    this->takeover.cancel();
    const std::optional<Resignation> resignation = this->dispatcher.resignation();
    this->dispatcher.end();
    if (resignation) {
        this->resign(*resignation);
    }
    // A callback of the reader may be on the stack, so the reader is destroyed only after that
    // callback has returned.
    this->loop.schedule(Duration::zero(), [reader = std::move(this->jobs)] {});
    this->jobs = nullptr;
}

void EntryNode::resign(const Resignation &resignation)
{
    const std::string value = records::encodeResignation(resignation);
    this->appendUntilStored({ { records::resignationKey(resignation.fencingToken), value, 0 },
                              { records::newestResignationKey(), value, 0 } },
                            maxResignationAttempts);
}

void EntryNode::appendUntilStored(const std::vector<KeyedRecord> &ownerRecords, int attemptsLeft)
{
    this->store.append(LogStream::Jobs, ownerRecords, std::nullopt, resignationTimeout,
                       [this, ownerRecords, attemptsLeft](const AppendAnswer &answer) {
                           if (answer.outcome == StoreOutcome::Done || attemptsLeft <= 1) {
                               return;
                           }
                           this->loop.schedule(
                                   resignationTimeout, [this, ownerRecords, attemptsLeft] {
                                       this->appendUntilStored(ownerRecords, attemptsLeft - 1);
                                   });
                       });
}

bool EntryNode::stopCommandsOf(std::string_view member, std::uint64_t askedToken,
                               std::uint64_t askerToken)
{
    return endFormerOwnership(this->ownership, this->name, member, askedToken, askerToken);
}

void EntryNode::formerOwnerStopped(std::uint64_t fencingToken)
{
    if (!this->dispatcher.active()) {
        return;
    }
    const Resignation resignation = this->dispatcher.formerOwnerStopped(fencingToken);
    this->decisions.write(DecisionLine(Event::FormerOwnerEnded).with("owner", fencingToken));
    const KeyedRecord record { records::resignationKey(fencingToken),
                               records::encodeResignation(resignation), 0 };
    this->store.append(LogStream::Jobs, { record }, std::nullopt, resignationTimeout,
                       [](const AppendAnswer & /*answer*/) {});
}

void EntryNode::recordsObsolete(const std::vector<KeyedRecord> &removals)
{
    this->store.append(LogStream::Jobs, removals, std::nullopt, resignationTimeout,
                       [](const AppendAnswer & /*answer*/) {});
}

void EntryNode::superseded(std::string_view by)
{
    this->ownership.superseded(by);
}

void EntryNode::workerListed(const WorkerEntry &entry)
{
    if (this->isOwnerOrTakesOver()) {
        this->dispatcher.workerListed(entry);
    }
}

void EntryNode::workerUnlisted(const TargetId &worker, RemovalCause cause)
{
    if (this->isOwnerOrTakesOver()) {
        this->dispatcher.workerUnlisted(worker, cause);
    }
}

void EntryNode::followJobs()
{
    if (!this->jobs || this->jobs->busy() || this->clock.now() < this->jobsRetryAt) {
        return;
    }
    this->jobs->advance(jobsPollWait, [this](StoreOutcome outcome) {
        if (outcome != StoreOutcome::Done) {
            this->jobsRetryAt = this->clock.now() + jobsRetryDelay;
            return;
        }
        // The reader calls this callback, which must return before the reader is advanced again.
        this->loop.schedule(Duration::zero(), [this] { this->followJobs(); });
    });
}

void EntryNode::recordRead(LogStream /*stream*/, const KeyedRecord &record)
{
    if (!this->dispatcher.active()) {
        return;
    }
    try {
        this->dispatcher.applyJobRecord(record);
    } catch (const Error &error) {
        this->decisions.write(DecisionLine(Event::RecordIgnored)
                                      .with("key", record.key)
                                      .with("offset", record.offset)
                                      .with("reason", error.what()));
    }
}

void EntryNode::reportEvacuation(const EvacuationLoad &load)
{
    this->metrics.setEvacuation(this->config.evacuations().all().size(), load);
    if (load.runs == 0 && load.moving == 0) {
        return;
    }
    this->decisions.write(DecisionLine(Event::EvacuationProgress)
                                  .with("runs", load.runs)
                                  .with("long_running", load.longRunning)
                                  .with("moving", load.moving)
                                  .with("moved", load.moved)
                                  .with("waits_for_capacity", load.waitsForCapacity));
}

} // namespace bulrush

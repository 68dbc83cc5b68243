#include "bulrush_node/groups/GroupRunner.h"

namespace bulrush {

GroupRunner::GroupRunner(const GroupContext &groupContext, const OwnerIdentity &identity,
                         const Durations &durations, Duration poll)
    : context(groupContext)
    , placement(*groupContext.clock, std::hash<GroupId>()(identity.group))
    , groupOwner(identity, durations, this->placement)
    , reader(*groupContext.loop, *groupContext.clock, *groupContext.log,
             this->groupOwner.groupStream(), poll, *this)
{
}

GroupRunner::~GroupRunner()
{
    *this->alive = false;
}

void GroupRunner::setWanted(bool wanted)
{
    this->groupOwner.setWanted(wanted);
    if (wanted) {
        this->reader.start();
    } else {
        this->reader.stop();
    }
}

void GroupRunner::updateVms(const std::vector<VmStatus> &list)
{
    this->groupOwner.updateVmList(list, this->context.clock->now());
}

void GroupRunner::setWeights(const interference::PolicyWeights &weights)
{
    this->placement.setWeights(weights);
}

void GroupRunner::tick(const WorkView &view, const JobRegistry &jobs, const BatchClasses &classes)
{
    this->placement.beginRound(this->groupOwner.workers(), classes);
    for (const Action &action : this->groupOwner.tick(this->context.clock->now(), view, jobs)) {
        std::visit([this](const auto &kind) { this->execute(kind); }, action);
    }
}

void GroupRunner::pageRead(const LogPage &page, Instant /*sentAt*/)
{
    this->groupOwner.setGroupFirstRetainedOffset(page.firstRetained);
    if (!this->countFromOffset) {
        this->countFromOffset = page.end;
    }
    for (const LogEntry &entry : page.entries) {
        this->groupOwner.readGroupRecord(entry.offset, entry.text);
        if (entry.offset >= *this->countFromOffset) {
            this->countAttemptEnds(entry.text);
        }
    }
}

void GroupRunner::countAttemptEnds(std::string_view payload)
{
    const std::optional<GroupBatch> batch = decodeGroupBatch(payload);
    if (!batch || batch->epoch != this->groupOwner.epoch()) {
        return;
    }
    for (const GroupRecord &record : batch->records) {
        const auto *end = std::get_if<EndRecord>(&record);
        if (end == nullptr) {
            continue;
        }
        if (end->outcome == Outcome::Finished) {
            this->context.metrics->count("bulrush_batch_tasks_finished_total");
        } else if (end->outcome == Outcome::Evicted) {
            this->context.metrics->count("bulrush_evictions_total");
        }
    }
}

//==============================================================================
void GroupRunner::execute(const AppendAction &action)
{
    this->context.metrics->count("bulrush_log_appends_total");
    // The GroupOwner appends the record again until it has read it back.
    this->context.log->append(action.stream, action.payload,
                              [metrics = this->context.metrics](std::optional<LogOffset> offset) {
                                  if (!offset) {
                                      metrics->count("bulrush_log_append_failures_total");
                                  }
                              });
}

void GroupRunner::execute(const ExchangeAction &action)
{
    this->context.metrics->count("bulrush_task_starts_total", double(action.request.starts.size()));
    this->context.workers->exchange(
            action.worker, action.request,
            [this, isAlive = this->alive,
             worker = action.worker](const std::optional<ExchangeAnswer> &answer) {
                if (!*isAlive) {
                    return;
                }
                if (answer) {
                    this->groupOwner.exchangeAnswered(*answer, this->context.clock->now());
                } else {
                    this->groupOwner.exchangeFailed(worker);
                }
            });
}

void GroupRunner::execute(const EventAction &action)
{
    this->context.events->write(action.event, action.peer, action.detail);
}

} // namespace bulrush

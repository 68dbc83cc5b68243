#include "bulrush_node/groups/GroupDesk.h"

namespace bulrush {

GroupDesk::GroupDesk(const GroupDeskContext &deskContext, const OwnerIdentity &identity,
                     const Durations &durations, Duration poll)
    : context(deskContext)
    , placement(*deskContext.clock, std::hash<GroupId>()(identity.group))
    , groupOwner(identity, durations, this->placement)
    , reader(*deskContext.loop, *deskContext.clock, *deskContext.log,
             this->groupOwner.groupStream(), poll, *this)
{
}

GroupDesk::~GroupDesk()
{
    *this->alive = false;
}

void GroupDesk::setWanted(bool wanted)
{
    this->groupOwner.setWanted(wanted);
    if (wanted) {
        this->reader.start();
    } else {
        this->reader.stop();
    }
}

void GroupDesk::updateVms(const std::vector<VmStatus> &list)
{
    this->groupOwner.updateVmList(list, this->context.clock->now());
}

void GroupDesk::setWeights(const interference::PolicyWeights &weights)
{
    this->placement.setWeights(weights);
}

void GroupDesk::tick(const WorkView &view, const JobBook &jobs, const BatchClasses &classes)
{
    this->placement.beginRound(this->groupOwner.workers(), classes);
    for (const Action &action : this->groupOwner.tick(this->context.clock->now(), view, jobs)) {
        std::visit([this](const auto &kind) { this->carryOut(kind); }, action);
    }
}

void GroupDesk::pageRead(const LogPage &page, Instant /*sentAt*/)
{
    this->groupOwner.noteGroupFirstOffset(page.firstRetained);
    if (!this->countFrom) {
        this->countFrom = page.end;
    }
    for (const LogEntry &entry : page.entries) {
        this->groupOwner.readGroupRecord(entry.offset, entry.text);
        if (entry.offset >= *this->countFrom) {
            this->noteEnds(entry.text);
        }
    }
}

void GroupDesk::noteEnds(std::string_view payload)
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
void GroupDesk::carryOut(const AppendAction &action)
{
    this->context.metrics->count("bulrush_log_appends_total");
    // The owner sends the record again until it has read it back.
    this->context.log->append(action.stream, action.payload,
                              [metrics = this->context.metrics](std::optional<LogOffset> offset) {
                                  if (!offset) {
                                      metrics->count("bulrush_log_append_failures_total");
                                  }
                              });
}

void GroupDesk::carryOut(const ExchangeAction &action)
{
    this->context.metrics->count("bulrush_task_starts_total", double(action.request.starts.size()));
    this->context.workers->exchange(
            action.worker, action.request,
            [this, living = this->alive,
             worker = action.worker](const std::optional<ExchangeAnswer> &answer) {
                if (!*living) {
                    return;
                }
                if (answer) {
                    this->groupOwner.exchangeAnswered(*answer, this->context.clock->now());
                } else {
                    this->groupOwner.exchangeFailed(worker);
                }
            });
}

void GroupDesk::carryOut(const EventAction &action)
{
    this->context.events->write(action.event, action.peer, action.detail);
}

} // namespace bulrush

#include "bulrush_node/work/GroupDesk.h"

namespace bulrush {

GroupDesk::GroupDesk(const GroupDeskContext &deskContext, const OwnerIdentity &identity,
                     const Durations &durations, Duration poll)
    : context(deskContext)
    , placement(std::make_unique<FirstFit>())
    , groupOwner(identity, durations, *this->placement)
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

void GroupDesk::tick(const WorkView &view, const JobBook &jobs)
{
    for (const Action &action : this->groupOwner.tick(this->context.clock->now(), view, jobs)) {
        std::visit([this](const auto &kind) { this->carryOut(kind); }, action);
    }
}

void GroupDesk::pageRead(const LogPage &page, Instant /*sentAt*/)
{
    this->groupOwner.noteGroupFirstOffset(page.firstRetained);
    for (const LogEntry &entry : page.entries) {
        this->groupOwner.readGroupRecord(entry.offset, entry.text);
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

#include "World.h"

namespace bulrush::explorer {

namespace {

/** The longest delay of a message, in milliseconds. */
constexpr std::uint64_t maxDelayMs = 40'000;

std::string summaryOf(const ExchangeRequest &request)
{
    std::string text = std::to_string(request.epoch) + '.' + std::to_string(request.sequence);
    for (const StartCommand &start : request.starts) {
        text += " start " + start.attempt.task.text() + '/' + std::to_string(start.attempt.attempt);
    }
    for (const AttemptId &attempt : request.stops) {
        text += " stop " + attempt.task.text() + '/' + std::to_string(attempt.attempt);
    }
    for (const AttemptId &attempt : request.forgets) {
        text += " forget " + attempt.task.text() + '/' + std::to_string(attempt.attempt);
    }
    return text;
}

} // namespace

void World::append(FakeNode &node, const AppendAction &action)
{
    if (!this->canReachLog(node) || this->chance(this->messageFaults.lostAppend)) {
        return;
    }
    if (this->chance(this->messageFaults.delayedAppend)) {
        this->schedule(milliseconds(this->random(maxDelayMs)),
                       [this, action] { this->applyAppend(action); });
    } else {
        this->applyAppend(action);
    }
    if (this->chance(this->messageFaults.duplicatedAppend)) {
        this->schedule(milliseconds(this->random(maxDelayMs)),
                       [this, action] { this->applyAppend(action); });
    }
}

void World::applyAppend(const AppendAction &action)
{
    this->addTrace("log " + action.stream + " <- " + action.payload.substr(0, 160));
    this->log.append(action.stream, action.payload, this->now);
    this->invariantChecker.recordAppended(action.stream, action.payload);
}

void World::exchange(FakeNode &node, const ExchangeAction &action, bool byRenewer)
{
    const auto held = this->heldMessages.find(node.id());
    if (held != this->heldMessages.end()) {
        held->second.push_back(action);
        return;
    }
    const std::uint64_t copies = this->chance(this->messageFaults.duplicatedRequest) ? 2 : 1;
    for (std::uint64_t copy = 0; copy < copies; ++copy) {
        if (this->chance(this->messageFaults.lostRequest)) {
            continue;
        }
        const bool delayed = copy > 0 || this->chance(this->messageFaults.delayedRequest);
        if (delayed) {
            this->schedule(milliseconds(this->random(maxDelayMs)),
                           [this, &node, action, byRenewer] {
                               this->deliver(node, action, byRenewer, true);
                           });
        } else {
            this->deliver(node, action, byRenewer, false);
        }
    }
}

void World::holdMessages(const NodeId &node, bool hold)
{
    if (hold) {
        this->heldMessages[node];
        return;
    }
    const std::vector<ExchangeAction> late = std::move(this->heldMessages[node]);
    this->heldMessages.erase(node);
    for (const ExchangeAction &action : late) {
        this->deliver(*this->nodes.at(node), action, false, true);
    }
}

void World::deliver(FakeNode &node, const ExchangeAction &action, bool byRenewer, bool late)
{
    WorkerEntry &worker = this->workers.at(action.worker);
    if (!worker.fake->isAlive() || (!late && !this->canReach(node, worker))) {
        return;
    }
    if (late || !action.request.starts.empty() || !action.request.stops.empty()
        || !action.request.forgets.empty()) {
        this->addTrace(node.id().name() + " -> " + action.worker.name() + (late ? " (late) " : " ")
                       + summaryOf(action.request));
    }
    const ExchangeAnswer answer = worker.fake->handle(action.request);
    if (this->chance(this->messageFaults.lostAnswer) || !this->canReach(node, worker)) {
        return;
    }
    const GroupId group = action.request.group;
    const auto handleArrival = [this, &node, incarnation = node.incarnation(), group, answer,
                                byRenewer] {
        this->runWhenResumed(node, [this, &node, incarnation, group, answer, byRenewer] {
            if (node.alive && node.incarnation() == incarnation) {
                node.handleAnswer(group, answer, byRenewer, this->nodeTime(node));
            }
        });
    };
    if (this->chance(this->messageFaults.delayedAnswer)) {
        this->schedule(milliseconds(this->random(4000)), handleArrival);
    } else {
        handleArrival();
    }
}

/** Sends the list as of a random time within the list lag, so that a dead VM can reappear in it and
    a new one can be missing again. */
void World::sendVmList(FakeNode &node)
{
    const auto lagMs =
            static_cast<std::uint64_t>(duration_cast<milliseconds>(this->listLag).count());
    const Instant asOf = this->now - milliseconds(this->random(lagMs + 1));
    for (const GroupId &group : this->groups) {
        std::vector<VmStatus> list;
        for (const auto &[id, entry] : this->workers) {
            const bool dead = !entry.fake->isAlive() && entry.killedAt <= asOf;
            const bool shown = entry.addedAt <= asOf && !dead && !entry.unlisted;
            if (entry.group == group && shown) {
                list.push_back({ id, entry.fake->isLeaving() });
            }
        }
        node.owner(group).updateVmList(list, this->nodeTime(node));
    }
}

} // namespace bulrush::explorer

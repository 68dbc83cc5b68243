#include "World.h"

namespace bulrush::explorer {

namespace {

/** How long a slow message may be on its way, in milliseconds. */
constexpr std::uint64_t longestDelayMs = 40'000;

std::string summary(const ExchangeRequest &request)
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
    if (!this->reachesLog(node) || this->chance(this->chaos.lostAppend)) {
        return;
    }
    if (this->chance(this->chaos.lateAppend)) {
        this->schedule(milliseconds(this->random(longestDelayMs)),
                       [this, action] { this->takeEffect(action); });
    } else {
        this->takeEffect(action);
    }
    if (this->chance(this->chaos.doubledAppend)) {
        this->schedule(milliseconds(this->random(longestDelayMs)),
                       [this, action] { this->takeEffect(action); });
    }
}

void World::takeEffect(const AppendAction &action)
{
    this->note("log " + action.stream + " <- " + action.payload.substr(0, 160));
    this->log.append(action.stream, action.payload, this->now);
    this->checks.appended(action.stream, action.payload);
}

void World::exchange(FakeNode &node, const ExchangeAction &action, bool byRenewer)
{
    const auto held = this->heldMessages.find(node.id());
    if (held != this->heldMessages.end()) {
        held->second.push_back(action);
        return;
    }
    const std::uint64_t copies = this->chance(this->chaos.doubledRequest) ? 2 : 1;
    for (std::uint64_t copy = 0; copy < copies; ++copy) {
        if (this->chance(this->chaos.lostRequest)) {
            continue;
        }
        const bool slow = copy > 0 || this->chance(this->chaos.slowRequest);
        if (slow) {
            this->schedule(milliseconds(this->random(longestDelayMs)),
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
    if (!worker.fake->isAlive() || (!late && !this->reaches(node, worker))) {
        return;
    }
    if (late || !action.request.starts.empty() || !action.request.stops.empty()
        || !action.request.forgets.empty()) {
        this->note(node.id().name() + " -> " + action.worker.name() + (late ? " (late) " : " ")
                   + summary(action.request));
    }
    const ExchangeAnswer answer = worker.fake->handle(action.request);
    if (this->chance(this->chaos.lostAnswer) || !this->reaches(node, worker)) {
        return;
    }
    const GroupId group = action.request.group;
    const auto arrive = [this, &node, life = node.life(), group, answer, byRenewer] {
        this->whenAwake(node, [this, &node, life, group, answer, byRenewer] {
            if (node.alive && node.life() == life) {
                node.answered(group, answer, byRenewer, this->nodeTime(node));
            }
        });
    };
    if (this->chance(this->chaos.slowAnswer)) {
        this->schedule(milliseconds(this->random(4000)), arrive);
    } else {
        arrive();
    }
}

/** The list lags by up to the lag, differently each time: a dead VM comes back into it, and a new
    one is missing again. */
void World::sendList(FakeNode &node)
{
    const auto lagMs =
            static_cast<std::uint64_t>(duration_cast<milliseconds>(this->listLag).count());
    const Instant asOf = this->now - milliseconds(this->random(lagMs + 1));
    for (const GroupId &group : this->groups) {
        std::vector<VmStatus> list;
        for (const auto &[id, entry] : this->workers) {
            const bool dead = !entry.fake->isAlive() && entry.diedAt <= asOf;
            const bool shown = entry.bornAt <= asOf && !dead && !entry.unlisted;
            if (entry.group == group && shown) {
                list.push_back({ id, entry.fake->isLeaving() });
            }
        }
        node.owner(group).updateVmList(list, this->nodeTime(node));
    }
}

} // namespace bulrush::explorer

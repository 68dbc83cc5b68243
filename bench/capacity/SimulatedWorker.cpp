#include "SimulatedWorker.h"

namespace bulrush::bench {

namespace {

constexpr const char *incarnation = "1764800000-4711";

} // namespace

SimulatedWorker::SimulatedWorker(const VmId &id, const Resources &vmCapacity, std::uint64_t seed)
    : vm(id)
    , capacity(vmCapacity)
    , random(seed)
{
}

ExchangeAnswer SimulatedWorker::handle(const ExchangeRequest &request, std::int64_t nowMs)
{
    if (request.incarnation == incarnation) {
        for (const StartCommand &command : request.starts) {
            this->start(command, request.epoch, nowMs);
        }
    }
    for (const AttemptId &attempt : request.forgets) {
        this->attempts.erase(attempt);
    }
    ExchangeAnswer answer { this->vm,    true,  request.epoch, request.sequence,
                            incarnation, nowMs, false,         this->capacity,
                            {} };
    for (auto &[attempt, held] : this->attempts) {
        if (held.item.state == AttemptState::Running && nowMs >= held.endsAtMs) {
            held.item.state = AttemptState::Finished;
            held.item.result = "done";
        }
        answer.inventory.push_back(held.item);
    }
    return answer;
}

void SimulatedWorker::start(const StartCommand &command, Epoch epoch, std::int64_t nowMs)
{
    if (this->attempts.contains(command.attempt)) {
        return;
    }
    HeldAttempt held;
    held.item.attempt = command.attempt;
    held.item.epoch = epoch;
    held.item.need = command.need;
    held.item.usageCpuMilli = command.need.cpuMilli - 1;
    held.item.usageMemoryMb = command.need.memoryMb - 1;
    held.item.usageAgeMs = 1'000;
    // Uniform from 0 to twice the declared run time, so that the ends are spread out.
    std::uniform_int_distribution<std::int64_t> span(0, 2 * command.runMs);
    held.endsAtMs = nowMs + span(this->random);
    this->attempts[command.attempt] = held;
}

} // namespace bulrush::bench

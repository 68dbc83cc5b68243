#include "SteadyWorker.h"

namespace bulrush::bench {

namespace {

constexpr const char *incarnation = "1764800000-4711";

} // namespace

SteadyWorker::SteadyWorker(const VmId &id, const Resources &vmCapacity, std::uint64_t seed)
    : vm(id)
    , capacity(vmCapacity)
    , random(seed)
{
}

ExchangeAnswer SteadyWorker::handle(const ExchangeRequest &request, std::int64_t nowMs)
{
    if (request.incarnation == incarnation) {
        for (const StartCommand &command : request.starts) {
            this->start(command, request.epoch, nowMs);
        }
    }
    for (const AttemptId &attempt : request.forgets) {
        this->books.erase(attempt);
    }
    ExchangeAnswer answer { this->vm,    true,  request.epoch, request.sequence,
                            incarnation, nowMs, false,         this->capacity,
                            {} };
    for (auto &[attempt, held] : this->books) {
        if (held.item.state == AttemptState::Running && nowMs >= held.endsAtMs) {
            held.item.state = AttemptState::Finished;
            held.item.result = "done";
        }
        answer.inventory.push_back(held.item);
    }
    return answer;
}

void SteadyWorker::start(const StartCommand &command, Epoch epoch, std::int64_t nowMs)
{
    if (this->books.contains(command.attempt)) {
        return;
    }
    Held held;
    held.item.attempt = command.attempt;
    held.item.epoch = epoch;
    held.item.need = command.need;
    held.item.usageCpuMilli = command.need.cpuMilli - 1;
    held.item.usageMemoryMb = command.need.memoryMb - 1;
    held.item.usageAgeMs = 1'000;
    // Uniform from none to twice the declared time, so that ends are spread.
    std::uniform_int_distribution<std::int64_t> span(0, 2 * command.runMs);
    held.endsAtMs = nowMs + span(this->random);
    this->books[command.attempt] = held;
}

} // namespace bulrush::bench

#include "standins/target/ExecutorSlots.h"

namespace bulrush::standins {

ExecutorSlots::ExecutorSlots(int slotCount)
    : slots(slotCount)
{
}

std::uint64_t ExecutorSlots::tryAcquire(const std::string &idempotencyKey)
{
    if (this->leaving || this->busySlots >= this->slots) {
        ++this->refusedCount;
        return 0;
    }
    ++this->busySlots;
    return idempotencyKey.empty() ? ++this->executionsWithoutKey
                                  : ++this->executionsByKey[idempotencyKey];
}

void ExecutorSlots::release()
{
    --this->busySlots;
    ++this->servedCount;
}

std::string ExecutorSlots::load() const
{
    return std::to_string(this->busySlots) + "/" + std::to_string(this->slots);
}

} // namespace bulrush::standins

#include "bulrush_evacuation/requests/EvacuationRequests.h"

#include <algorithm>

namespace bulrush {

EvacuationChange EvacuationRequests::request(const DataCentreId &dataCentre, std::uint64_t offset,
                                             Instant now)
{
    if (this->delivered) {
        this->delivered->insert(dataCentre);
    }
    const auto [found, added] =
            this->requests.try_emplace(dataCentre, EvacuationRequest { offset, now });
    if (!added) {
        // A repeated request changes nothing but the version that a withdrawal must exceed.
        found->second.offset = std::max(found->second.offset, offset);
        return EvacuationChange::None;
    }
    ++this->changes;
    return EvacuationChange::Began;
}

EvacuationChange EvacuationRequests::withdraw(const DataCentreId &dataCentre, std::uint64_t offset)
{
    const auto found = this->requests.find(dataCentre);
    if (found == this->requests.end() || offset < found->second.offset) {
        return EvacuationChange::None;
    }
    this->requests.erase(found);
    ++this->changes;
    return EvacuationChange::Ended;
}

void EvacuationRequests::beginReread()
{
    this->delivered.emplace();
}

std::map<DataCentreId, EvacuationRequest> EvacuationRequests::completeReread()
{
    std::map<DataCentreId, EvacuationRequest> ended;
    if (!this->delivered) {
        return ended;
    }
    for (const auto &[dataCentre, request] : this->requests) {
        if (!this->delivered->contains(dataCentre)) {
            ended.emplace(dataCentre, request);
        }
    }
    for (const auto &[dataCentre, request] : ended) {
        this->requests.erase(dataCentre);
        ++this->changes;
    }
    this->delivered.reset();
    return ended;
}

void EvacuationRequests::readToEnd(Instant sentAt)
{
    this->readToEndAt = std::max(this->readToEndAt.value_or(sentAt), sentAt);
}

} // namespace bulrush

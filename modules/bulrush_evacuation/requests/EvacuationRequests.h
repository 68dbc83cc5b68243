#pragma once

#include "bulrush_core/ids/Id.h"
#include "bulrush_core/time/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bulrush {

/** An operator's request that no task be started in a data centre. */
struct EvacuationRequest
{
    /** The offset of its record, which serves as its version. */
    std::uint64_t offset = 0;
    /** When this process first read the record. */
    Instant readAt {};
};

/** How a record changed the requests in force. */
enum class EvacuationChange : std::uint8_t { None, Began, Ended };

/**
    The evacuation requests in force, as read from the configuration stream.

    While the newest records are re-read, the former requests stay in force until the re-read is
    complete, since the records of some are delivered later than those of others.
*/
class EvacuationRequests
{
public:
    /** Notes a record that requests an evacuation. The same or an older record changes nothing. */
    EvacuationChange request(const DataCentreId &dataCentre, std::uint64_t offset, Instant now);

    /** Notes a record that withdraws a request. A record older than the request changes nothing. */
    EvacuationChange withdraw(const DataCentreId &dataCentre, std::uint64_t offset);

    /** Notes that the newest records are about to be delivered. */
    void beginReread();

    /** Notes that all newest records have been delivered. Requests that were not among them end.
        @returns the requests that have ended */
    std::map<DataCentreId, EvacuationRequest> completeReread();

    /** Notes that the stream was read to its end.
        @param sentAt when the read was sent: all that the store had confirmed by then was read */
    void readToEnd(Instant sentAt);

    /** Returns when the last read to the end was sent; none before the first. */
    const std::optional<Instant> &lastReadToEnd() const { return this->readToEndAt; }

    bool isEvacuated(const DataCentreId &dataCentre) const
    {
        return this->requests.contains(dataCentre);
    }

    const std::map<DataCentreId, EvacuationRequest> &all() const { return this->requests; }

    /** Returns a number that changes whenever a request begins or ends. */
    std::uint64_t version() const { return this->changes; }

private:
    std::map<DataCentreId, EvacuationRequest> requests;
    /** While the newest records are re-read: the data centres whose requests were delivered. */
    std::optional<std::set<DataCentreId>> delivered;
    std::optional<Instant> readToEndAt;
    std::uint64_t changes = 0;
};

} // namespace bulrush

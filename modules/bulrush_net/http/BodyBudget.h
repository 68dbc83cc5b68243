#pragma once

#include "bulrush_core/time/Clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace bulrush {

/**
    Decides which requests' bodies are received, so that all of them together take a bounded amount
    of memory.

    The whole announced length is reserved before the first byte, so that an admitted body never
    stops halfway for lack of memory. A reservation lasts until the request is answered, because its
    copies last as long. When there is no room, unfinished uploads that make the least progress are
    closed in favour of a new one. Small bodies may use a part of the budget that large ones may
   not.

    A pure class: it has neither sockets nor a clock.
*/
class BodyBudget
{
public:
    using UploadId = std::uint64_t;

    /** Memory that a request takes for each byte of its body: the body, its record, and the append
        to the store that contains the record. */
    static constexpr std::size_t copies = 3;

    /** Bodies up to this size are small. */
    static constexpr std::size_t smallBytes = 16'384;

    /** Age from which an unfinished upload may be closed in favour of any other. */
    static constexpr milliseconds displaceableAge { 1000 };

    /** Time after which an upload must have kept to the minimum rate. */
    static constexpr milliseconds rateGrace { 5000 };

    /** The lowest rate at which a body may arrive. */
    static constexpr std::size_t minBytesPerSecond = 8192;

    struct Decision
    {
        bool admitted = false;
        /** Uploads that are to be closed; their reservations have ended. */
        std::vector<UploadId> displaced;
    };

    /** @param totalBytes memory for all bodies, 0 when there is no limit */
    explicit BodyBudget(std::size_t totalBytes);

    /** Returns whether a body of a length is ever admitted. */
    bool canHold(std::size_t bytes) const { return bytes <= this->limitFor(bytes) / copies; }

    /** Reserves memory for a body that is about to arrive, if there is room for it. */
    Decision announce(UploadId id, std::size_t bytes, Instant now);

    /** Notes that more of a body has arrived. */
    void received(UploadId id, std::size_t bytes);

    /** Notes that a body is complete. It is not displaced from now on. */
    void completed(UploadId id);

    /** Ends a reservation; unknown ids are ignored. */
    void release(UploadId id);

    /** Returns the unfinished uploads that are slower than the minimum rate. */
    std::vector<UploadId> overdue(Instant now) const;

    std::size_t reservedBytes() const { return this->reserved; }

private:
    struct Upload
    {
        std::size_t announced = 0;
        std::size_t received = 0;
        Instant since {};
        bool complete = false;
    };

    /** Returns how much may be reserved when a body of a length is among the uploads. */
    std::size_t limitFor(std::size_t bytes) const;

    /** Returns the uploads that may be closed in favour of a body, the slowest first. */
    std::vector<UploadId> displaceableBy(std::size_t bytes, Instant now) const;

    const std::size_t total;
    std::size_t reserved = 0;
    std::map<UploadId, Upload> uploads;
};

} // namespace bulrush

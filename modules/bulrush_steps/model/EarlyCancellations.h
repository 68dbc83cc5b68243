#pragma once

#include "bulrush_steps/model/JobRecords.h"

#include <cstddef>
#include <unordered_map>

namespace bulrush {

/**
    The cancellations that are on record without their jobs.

    A caller may cancel a job whose record is still on its way to the log. Such a job must not run
    when its record arrives. Cancellations that have expired are dropped, so that those of jobs that
    never existed take no memory for ever.
    @see Cancellation
*/
class EarlyCancellations
{
public:
    /** Keeps a cancellation. @param now the calendar time */
    void add(const JobId &job, const Cancellation &cancellation, UnixMillis now);

    /** Removes the cancellation of a job whose record was read.
        @param acceptedAt calendar time at which the job was accepted
        @returns whether the job is cancelled by it */
    bool take(const JobId &job, UnixMillis acceptedAt);

    /** Returns whether there are so many that a node records no further one. A cancellation that is
        on record is kept all the same. @param now the calendar time */
    bool isFull(UnixMillis now) const;

    /** Returns the number of cancellations that are kept, some of which may have expired. */
    std::size_t count() const { return this->cancellations.size(); }

    /** The number from which on a node records no further ones. */
    static constexpr std::size_t maxCount = 20'000;

private:
    void dropExpired(UnixMillis now);

    std::unordered_map<JobId, Cancellation> cancellations;
    /** The number of cancellations from which on expired ones are looked for. */
    std::size_t nextDropCount = firstDropCount;

    static constexpr std::size_t firstDropCount = 1024;
};

} // namespace bulrush

#pragma once

#include "bulrush_core/time/Clock.h"
#include "bulrush_steps/follow/RecordsView.h"
#include "bulrush_steps/ports/KeyedLog.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace bulrush {

/**
    What a new owner does before it orders anything: it shuts the former owner out of the progress
    stream, puts its mark on the jobs' stream, and only then reads what is on record.
*/
class Takeover
{
public:
    /** @param done called with the mark's offset, or not at all when cancelled or superseded
        @param superseded called when the store knows a newer owner */
    Takeover(const Clock &clock, KeyedLog &log, RecordsView &view);

    /** Begins; goes on through failures until it is done or cancelled. */
    void begin(std::uint64_t fencingToken, std::string member, std::function<void(LogOffset)> done,
               std::function<void()> superseded);

    void cancel();

    /** Tries again what failed. */
    void tick();

    bool running() const { return this->step != Step::Idle; }

private:
    enum class Step : std::uint8_t { Idle, Announce, Read };

    void shutOut();
    void putMark();
    void readRecords();
    void announce();
    void announced();
    void advance(Step next);
    void retryLater();

    const Clock &clock;
    KeyedLog &log;
    RecordsView &view;
    Step step = Step::Idle;
    bool inFlight = false;
    bool shutOutDone = false;
    bool markDone = false;
    std::uint32_t openCalls = 0;
    Instant retryAt {};
    std::uint64_t token = 0;
    std::string member;
    LogOffset markOffset = 0;
    std::function<void(LogOffset)> whenDone;
    std::function<void()> whenSuperseded;
    std::shared_ptr<bool> living = std::make_shared<bool>(true);
};

} // namespace bulrush

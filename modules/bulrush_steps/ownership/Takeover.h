#pragma once

#include "bulrush_core/time/Clock.h"
#include "bulrush_steps/follow/RecordsView.h"
#include "bulrush_steps/ports/KeyedLog.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace bulrush {

class DecisionLog;

/**
    Performs the takeover by a new owner before it sends any command: fences the previous owner's
    appends to the progress stream, appends an owner record to the jobs stream, and only then reads
    the persisted state.
*/
class Takeover
{
public:
    Takeover(const Clock &clock, KeyedLog &log, RecordsView &view, DecisionLog &decisions);

    /** Starts the takeover. Failed calls are retried until it is complete or cancelled.
        @param done called with the offset of the owner record; not called after cancel() or when
            superseded
        @param superseded called when the store has seen the epoch of a newer owner */
    void begin(std::uint64_t fencingToken, std::string member, std::function<void(LogOffset)> done,
               std::function<void()> superseded);

    void cancel();

    /** Retries failed calls when due, and logs each second how far a slow takeover has come. */
    void tick();

    bool running() const { return this->step != Step::Idle; }

private:
    enum class Step : std::uint8_t { Idle, Announce, Read };

    void fencePreviousOwner();
    void appendOwnerRecords();
    void readRecords();
    void announce();
    void handleAnnounceAnswer();
    void advance(Step next);
    void retryLater();
    void retryIfDue();
    void reportIfDue();
    void report(std::string_view reportedStep, std::string_view outcome) const;

    const Clock &clock;
    KeyedLog &log;
    RecordsView &view;
    DecisionLog &decisions;
    Step step = Step::Idle;
    bool inFlight = false;
    bool fenceDone = false;
    bool ownerRecordDone = false;
    std::uint32_t pendingCalls = 0;
    Instant retryAt {};
    Instant beganAt {};
    Instant nextReportAt {};
    std::uint64_t token = 0;
    std::string member;
    LogOffset ownerRecordOffset = 0;
    std::function<void(LogOffset)> whenDone;
    std::function<void()> whenSuperseded;
    /** Shared with the callbacks of calls; set to false by cancel(), so that late answers are
        ignored. */
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace bulrush

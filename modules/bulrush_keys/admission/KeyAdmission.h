#pragma once

#include "bulrush_keys/admission/KeyedRequest.h"
#include "bulrush_keys/table/KeyTable.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush {

/** Decisions on an arrival. */
enum class KeyAnswerKind : std::uint8_t {
    /** The caller must send the request now, once, and then report the result. */
    Send,

    /** The key's request did not run. */
    NotRun,

    /** This arrival was not sent; whether an earlier arrival of the key ran is not known. */
    NotSent,

    /** Another arrival holds the key; whether its request ran is not known. */
    InProgress,

    /** An arrival of the key was answered; the status is given. */
    AlreadyRun,

    /** The key is too old or issued in the future, so its outcome cannot be known. */
    OutcomeUnknown,

    /** The key is malformed. */
    MalformedKey,
};

/** The decision on an arrival. */
struct KeyAnswer
{
    KeyAnswerKind kind = KeyAnswerKind::NotSent;
    std::string arrival;
    std::string reason;
    int status = 0;
};

/** An append that the caller must make to the keys stream. */
struct KeyAppend
{
    std::uint64_t number = 0;
    std::string text;
};

/** The result of an append. */
enum class AppendResult : std::uint8_t {
    Stored,

    /** No answer was received: the entry may or may not be stored, now or later. */
    Lost,

    /** Nothing was sent, or the log refused the entry. */
    NotStored,
};

/** The result of sending a request. */
enum class SendResult : std::uint8_t {
    Answered,

    /** Nothing was sent, or the target refused the request before it started. */
    NeverSent,

    Unknown,
};

/** Limits a node's append rate, as the log accepts only some hundred a second from all nodes. */
struct AppendPace
{
    /** Minimum time between the starts of two appends; 0 if the caller limits the rate itself. */
    Duration minInterval = milliseconds(0);

    /** How long completions and releases wait to share an append with a claim. */
    Duration linger = milliseconds(200);
};

/**
    Decides whether the keyed requests of one node may be sent. Claims that arrive while an append
    is in flight share the next append (group commit).
*/
class KeyAdmission
{
public:
    /** The maximum number of operations that wait for the log. */
    static constexpr std::size_t maxWaiting = 4'096;

    /** The maximum number of operations in one append. */
    static constexpr std::size_t maxBatch = 256;

    /** @param claimWait maximum time for an arrival's claim to be read back */
    KeyAdmission(KeyValidity times, Duration claimWait, AppendPace pace = {})
        : keyTable(times)
        , claimWait(claimWait)
        , pace(pace)
    {
    }

    /**
        Adds a keyed request that has arrived.

        @param arrival    id that is unique across all nodes and their restarts
        @param isFirstTry whether the caller states that it has never sent this key before
    */
    void addArrival(std::string_view arrival, std::string_view keyText, bool isFirstTry,
                    Instant now, UnixSeconds calendar);

    /**
        Returns the next append if operations are waiting, no append is in flight, the log is
        available and the append pace allows an append at the time that was last passed with an
        arrival or a tick.
    */
    std::optional<KeyAppend> nextAppend(UnixSeconds calendar);

    /** Handles the result of the append in flight. */
    void appendEnded(std::uint64_t number, AppendResult result);

    /** Applies an entry that was read from the keys stream. */
    void applyEntry(std::uint64_t offset, std::string_view text, UnixSeconds calendar);

    /** Sets the range of offsets in the log. Call it after applying the entries of a read. */
    void setLogRange(std::uint64_t firstRetained, std::uint64_t end, UnixSeconds calendar);

    /** Sets whether the log is reachable. While it is not, arrivals are refused immediately. */
    void setLogAvailable(bool available);

    /** Handles the result of sending a request. @param status the HTTP status, if answered */
    void requestEnded(std::string_view arrival, SendResult result, int status);

    /** Refuses arrivals whose claim was not read back in time, and evicts expired keys. */
    void tick(Instant now, UnixSeconds calendar);

    /** Returns and removes the decisions made since the last call. */
    std::vector<KeyAnswer> takeAnswers();

    const KeyTable &table() const { return this->keyTable; }

    /** Returns the number of arrivals without a final outcome. */
    std::size_t openCount() const { return this->openRequests.size(); }

private:
    using OpenRequests = std::map<std::string, KeyedRequest, std::less<>>;

    void answer(std::string_view arrival, KeyAnswerKind kind, std::string_view reason,
                int status = 0);
    void refuse(std::string_view arrival, bool isFirstTry, std::string_view reason);
    bool answerFromView(std::string_view arrival, bool isFirstTry, const KeyView &view);
    void decide(OpenRequests::iterator request, UnixSeconds calendar);
    OpenRequests::iterator removeRequest(OpenRequests::iterator request);
    OpenRequests::iterator close(OpenRequests::iterator request, std::string_view reason);
    void enqueue(KeyVerb verb, const std::string &key, std::string_view arrival, int status);
    void confirm(const KeyOperation &operation);
    bool isAppendDue() const;
    bool isRetryNeeded(const KeyOperation &operation) const;

    KeyTable keyTable;
    const Duration claimWait;
    const AppendPace pace;
    OpenRequests openRequests;
    std::deque<KeyOperation> waiting;
    std::vector<KeyOperation> inFlight;
    std::uint64_t appendNumber = 0;
    bool appending = false;
    bool logAvailable = true;
    Instant lastNow {};
    std::optional<Instant> lastAppend;
    std::optional<Instant> lingerUntil;
    std::vector<KeyAnswer> answers;
};

} // namespace bulrush

#pragma once

#include "bulrush_core/ids/Id.h"
#include "bulrush_core/time/Clock.h"

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bulrush::routing {

/** A target's place in the table; valid while the target is present or has requests in flight. */
enum class TargetIndex : std::uint32_t {};

/** Returns the index as a plain number. */
constexpr std::size_t toSize(TargetIndex index)
{
    return static_cast<std::size_t>(index);
}

/** Who said that a target is leaving. */
enum class LeavingSource : std::uint8_t { PlatformList, OwnWord, Record };

/** Whether a target gets new requests. */
enum class TargetState : std::uint8_t { Live, Leaving, Ejected };

/** What is declared about a target. */
struct TargetSettings
{
    TargetId id;
    DataCentreId dataCentre;
    /** Requests that the target runs at once. */
    unsigned slots = 8;
    /** This node's share of the target's connections. @see connectionShare */
    unsigned connections = 7;
};

/** What a target says about itself with an answer. */
struct TargetReport
{
    /** Requests that it runs or queues, of all nodes. */
    std::optional<unsigned> load;
    bool leaving = false;
};

/** One target as this node knows it. */
struct Target
{
    TargetId id;
    std::size_t dataCentre = 0;
    unsigned slots = 0;
    unsigned connections = 0;
    bool present = false;
    bool ejected = false;
    /** Failures since the last answer. */
    unsigned failuresInARow = 0;
    /** One bit a LeavingSource. */
    std::uint8_t leavingSources = 0;
    /** When the target's own word about leaving lapses. */
    Instant ownWordUntil {};
    /** Requests of this node on the target. */
    unsigned inFlight = 0;
    /** Requests of other nodes at the last report. */
    double others = 0;
    Instant reportedAt {};
    bool reported = false;
    /** Moving average of the time to an answer, in seconds; 0 when unknown. */
    double answerSeconds = 0;

    TargetState state() const;
    bool isUsable() const { return this->present && this->state() == TargetState::Live; }
    bool hasConnection() const { return this->inFlight < this->connections; }
};

/** A data centre as seen from this node's own. */
struct DataCentre
{
    DataCentreId id;
    Duration oneWay {};
    bool reachable = true;
    /** Mean of other nodes' requests on a target here, over the recent reports. */
    double othersMean = 0;
    /** Targets that may get new requests. */
    std::vector<TargetIndex> usable;
};

/** What this node knows of the targets: declared size, state, its own requests, last reports. */
class TargetTable
{
public:
    /** How long a target's own word holds; longer than the platform's list lags. */
    static constexpr Duration ownWordHold = seconds(30);

    explicit TargetTable(const DataCentreId &ownDataCentre);

    //==============================================================================
    /** Adds a target or changes its declared size. */
    TargetIndex put(const TargetSettings &settings);

    /** Takes a target out; requests in flight on it are left alone. */
    void remove(const TargetId &id);

    /** Notes that a source calls a target leaving, or no longer does. */
    void setLeaving(TargetIndex index, LeavingSource source, bool leaving, Instant now);

    /** Notes whether a target is ejected as an outlier. */
    void setEjected(TargetIndex index, bool ejected);

    /** Notes how many failures a target has had since its last answer. */
    void setFailuresInARow(TargetIndex index, unsigned failures);

    /** Lets lapsed own words about leaving go. */
    void expireOwnWords(Instant now);

    /** Notes whether a data centre can be reached. */
    void setReachable(const DataCentreId &id, bool reachable);

    /** Notes the measured time one way to a data centre. */
    void setOneWay(const DataCentreId &id, Duration oneWay);

    //==============================================================================
    /** Notes a request sent to a target. */
    void beginRequest(TargetIndex index);

    /** Notes that a request on a target ended. */
    void endRequest(TargetIndex index);

    /** Takes in what a target said with an answer. */
    void noteReport(TargetIndex index, const TargetReport &report, Instant now);

    /** Takes in how long an answer took. */
    void noteAnswerTime(TargetIndex index, Duration time);

    //==============================================================================
    /** Returns the index of a present target. */
    std::optional<TargetIndex> find(const TargetId &id) const;

    /** Returns whether the table still holds a target of that name, present or taken out. */
    bool remembers(const TargetId &id) const { return this->indexes.contains(id); }

    const Target &at(TargetIndex index) const { return this->targets[toSize(index)]; }

    /** Returns all data centres; the first is this node's own. */
    std::span<const DataCentre> dataCentres() const { return this->centres; }

    /** Returns the mean of other nodes' requests on a target of a data centre. */
    double meanOthers(std::size_t dataCentre) const { return this->centres[dataCentre].othersMean; }

    /** Returns the mean time to an answer in seconds over all targets. */
    double meanAnswerSeconds() const { return this->answerMean; }

    /** Returns how many targets are present, and how many of them ejected, in a data centre. */
    std::size_t presentIn(std::size_t dataCentre) const;
    std::size_t ejectedIn(std::size_t dataCentre) const;

    /** Returns whether any target in reach may get new requests. */
    bool hasUsable() const;

private:
    std::size_t centreFor(const DataCentreId &id);
    TargetIndex freeIndex();
    void rebuild(std::size_t dataCentre);
    std::size_t countIn(std::size_t dataCentre, bool ejectedOnly) const;

    std::vector<Target> targets;
    std::unordered_map<TargetId, TargetIndex> indexes;
    std::vector<DataCentre> centres;
    double answerMean = 0;
};

} // namespace bulrush::routing

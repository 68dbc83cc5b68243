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

/** Index of a target in the table; valid while the target is present or has requests in flight. */
enum class TargetIndex : std::uint32_t {};

/** Converts an index to std::size_t. */
constexpr std::size_t toSize(TargetIndex index)
{
    return static_cast<std::size_t>(index);
}

/** Source that reports a target as leaving; SelfReport stands for the target's own answers. */
enum class LeavingSource : std::uint8_t { PlatformList, SelfReport, Record };

/** Whether a target receives new requests. */
enum class TargetState : std::uint8_t { Live, Leaving, Ejected };

/** Declared properties of a target. */
struct TargetSettings
{
    TargetId id;
    DataCentreId dataCentre;
    /** Number of requests that the target runs concurrently. */
    unsigned slots = 8;
    /** Number of connections that this node may use. @see connectionShare */
    unsigned connections = 7;
};

/** State that a target reports with an answer. */
struct TargetReport
{
    /** Requests of all nodes that the target runs or queues. */
    std::optional<unsigned> load;
    bool leaving = false;
};

/** This node's view of a target. */
struct Target
{
    TargetId id;
    std::size_t dataCentre = 0;
    unsigned slots = 0;
    unsigned connections = 0;
    bool present = false;
    bool ejected = false;
    /** Number of failures since the last success. */
    unsigned consecutiveFailures = 0;
    /** Bit set, indexed by LeavingSource. */
    std::uint8_t leavingSources = 0;
    /** When the target's own report of leaving expires. */
    Instant selfReportExpiresAt {};
    /** Requests of this node in flight on the target. */
    unsigned inFlight = 0;
    /** Requests of other nodes at the last load report. */
    double otherNodesLoad = 0;
    Instant reportedAt {};
    bool hasReport = false;
    /** Moving average of the answer time, in seconds; 0 if unknown. */
    double answerSeconds = 0;

    TargetState state() const;
    bool isUsable() const { return this->present && this->state() == TargetState::Live; }
    bool hasConnection() const { return this->inFlight < this->connections; }
};

/** A data centre as seen from the data centre of this node. */
struct DataCentre
{
    DataCentreId id;
    Duration oneWayDelay {};
    bool reachable = true;
    /** Moving average of the requests of other nodes per target in this data centre. */
    double meanOtherNodesLoad = 0;
    /** Targets that may receive new requests. */
    std::vector<TargetIndex> usable;
};

/** Targets known to this node: declared properties, state, own requests and last load reports. */
class TargetTable
{
public:
    /** Validity of a target's own report of leaving; exceeds the lag of the platform's list. */
    static constexpr Duration selfReportLifetime = seconds(30);

    explicit TargetTable(const DataCentreId &ownDataCentre);

    //==============================================================================
    /** Adds a target or changes its declared properties. */
    TargetIndex put(const TargetSettings &settings);

    /** Removes a target; requests in flight on it are not affected. */
    void remove(const TargetId &id);

    /** Sets whether a source reports a target as leaving. */
    void setLeaving(TargetIndex index, LeavingSource source, bool leaving, Instant now);

    /** Sets whether a target is ejected as an outlier. */
    void setEjected(TargetIndex index, bool ejected);

    /** Sets the number of failures of a target since its last success. */
    void setConsecutiveFailures(TargetIndex index, unsigned failures);

    /** Clears targets' own reports of leaving that have expired. */
    void expireSelfReports(Instant now);

    /** Sets whether a data centre is reachable. */
    void setReachable(const DataCentreId &id, bool reachable);

    /** Sets the measured one-way network delay to a data centre. */
    void setOneWayDelay(const DataCentreId &id, Duration oneWayDelay);

    //==============================================================================
    /** Records that a request was sent to a target. */
    void beginRequest(TargetIndex index);

    /** Records that a request on a target ended. */
    void endRequest(TargetIndex index);

    /** Updates a target with the state that it reported with an answer. */
    void recordReport(TargetIndex index, const TargetReport &report, Instant now);

    /** Updates the mean answer times with the duration of an answer. */
    void recordAnswerTime(TargetIndex index, Duration time);

    //==============================================================================
    /** Returns the index of a target, or nothing if it is not present. */
    std::optional<TargetIndex> find(const TargetId &id) const;

    /** Returns whether the table has an entry for a target, present or removed. */
    bool hasEntry(const TargetId &id) const { return this->indexes.contains(id); }

    const Target &at(TargetIndex index) const { return this->targets[toSize(index)]; }

    /** Returns all data centres; the first is that of this node. */
    std::span<const DataCentre> dataCentres() const { return this->centres; }

    /** Returns the mean number of requests of other nodes per target of a data centre. */
    double meanOtherNodesLoad(std::size_t dataCentre) const
    {
        return this->centres[dataCentre].meanOtherNodesLoad;
    }

    /** Returns the mean answer time over all targets, in seconds. */
    double meanAnswerSeconds() const { return this->answerSecondsMean; }

    /** Return the number of targets present in a data centre, and how many of these are ejected. */
    std::size_t presentCount(std::size_t dataCentre) const;
    std::size_t ejectedCount(std::size_t dataCentre) const;

    /** Returns whether any reachable target may receive new requests. */
    bool hasUsable() const;

private:
    std::size_t centreFor(const DataCentreId &id);
    TargetIndex allocateIndex();
    void rebuildUsable(std::size_t dataCentre);
    std::size_t countIn(std::size_t dataCentre, bool ejectedOnly) const;

    std::vector<Target> targets;
    std::unordered_map<TargetId, TargetIndex> indexes;
    std::vector<DataCentre> centres;
    double answerSecondsMean = 0;
};

} // namespace bulrush::routing

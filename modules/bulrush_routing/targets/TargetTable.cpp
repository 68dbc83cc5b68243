#include "bulrush_routing/targets/TargetTable.h"

#include <algorithm>

namespace bulrush::routing {

namespace {

/** Weight of a load report in the mean over the targets of its data centre. */
constexpr double otherNodesLoadGain = 0.02;

/** Weight of an answer in the mean answer time of its target. */
constexpr double answerGain = 0.05;

/** Weight of an answer in the mean answer time over all targets. */
constexpr double answerMeanGain = 0.005;

constexpr std::uint8_t bitOf(LeavingSource source)
{
    return static_cast<std::uint8_t>(1U << static_cast<unsigned>(source));
}

void updateMean(double &mean, double value, double gain)
{
    mean = mean == 0 ? value : mean + gain * (value - mean);
}

} // namespace

TargetState Target::state() const
{
    if (this->leavingSources != 0) {
        return TargetState::Leaving;
    }
    return this->ejected ? TargetState::Ejected : TargetState::Live;
}

TargetTable::TargetTable(const DataCentreId &ownDataCentre)
{
    this->centreFor(ownDataCentre);
}

TargetIndex TargetTable::put(const TargetSettings &settings)
{
    const auto known = this->indexes.find(settings.id);
    const bool added = known == this->indexes.end();
    const TargetIndex index = added ? this->allocateIndex() : known->second;
    Target &target = this->targets[toSize(index)];
    if (added) {
        this->indexes.erase(target.id);
        target = Target {};
        target.id = settings.id;
        this->indexes.emplace(settings.id, index);
    }
    const std::size_t before = target.dataCentre;
    target.dataCentre = this->centreFor(settings.dataCentre);
    target.slots = std::max(1U, settings.slots);
    target.connections = settings.connections;
    target.present = true;
    this->rebuildUsable(before);
    this->rebuildUsable(target.dataCentre);
    return index;
}

void TargetTable::remove(const TargetId &id)
{
    const auto index = this->find(id);
    if (!index) {
        return;
    }
    Target &target = this->targets[toSize(*index)];
    target.present = false;
    target.leavingSources = 0;
    this->rebuildUsable(target.dataCentre);
}

void TargetTable::setLeaving(TargetIndex index, LeavingSource source, bool leaving, Instant now)
{
    Target &target = this->targets[toSize(index)];
    const std::uint8_t before = target.leavingSources;
    if (leaving) {
        target.leavingSources |= bitOf(source);
    } else {
        target.leavingSources &= static_cast<std::uint8_t>(~bitOf(source));
    }
    if (leaving && source == LeavingSource::SelfReport) {
        target.selfReportExpiresAt = now + selfReportLifetime;
    }
    if (before != target.leavingSources) {
        this->rebuildUsable(target.dataCentre);
    }
}

void TargetTable::setEjected(TargetIndex index, bool ejected)
{
    Target &target = this->targets[toSize(index)];
    if (target.ejected != ejected) {
        target.ejected = ejected;
        this->rebuildUsable(target.dataCentre);
    }
}

void TargetTable::setConsecutiveFailures(TargetIndex index, unsigned failures)
{
    this->targets[toSize(index)].consecutiveFailures = failures;
}

void TargetTable::expireSelfReports(Instant now)
{
    for (std::size_t i = 0; i < this->targets.size(); ++i) {
        const Target &target = this->targets[i];
        const bool selfReported = (target.leavingSources & bitOf(LeavingSource::SelfReport)) != 0;
        if (selfReported && target.selfReportExpiresAt <= now) {
            this->setLeaving(TargetIndex(i), LeavingSource::SelfReport, false, now);
        }
    }
}

void TargetTable::setReachable(const DataCentreId &id, bool reachable)
{
    this->centres[this->centreFor(id)].reachable = reachable;
}

void TargetTable::setOneWayDelay(const DataCentreId &id, Duration oneWayDelay)
{
    this->centres[this->centreFor(id)].oneWayDelay = oneWayDelay;
}

void TargetTable::beginRequest(TargetIndex index)
{
    ++this->targets[toSize(index)].inFlight;
}

void TargetTable::endRequest(TargetIndex index)
{
    --this->targets[toSize(index)].inFlight;
}

void TargetTable::recordReport(TargetIndex index, const TargetReport &report, Instant now)
{
    Target &target = this->targets[toSize(index)];
    if (report.leaving) {
        this->setLeaving(index, LeavingSource::SelfReport, true, now);
    }
    if (!report.load) {
        return;
    }
    target.otherNodesLoad = std::max(0.0, static_cast<double>(*report.load) - target.inFlight);
    target.reportedAt = now;
    target.hasReport = true;
    double &mean = this->centres[target.dataCentre].meanOtherNodesLoad;
    mean += otherNodesLoadGain * (target.otherNodesLoad - mean);
}

void TargetTable::recordAnswerTime(TargetIndex index, Duration time)
{
    const double taken = std::chrono::duration<double>(time).count();
    updateMean(this->targets[toSize(index)].answerSeconds, taken, answerGain);
    updateMean(this->answerSecondsMean, taken, answerMeanGain);
}

std::optional<TargetIndex> TargetTable::find(const TargetId &id) const
{
    const auto found = this->indexes.find(id);
    if (found == this->indexes.end() || !this->at(found->second).present) {
        return std::nullopt;
    }
    return found->second;
}

std::size_t TargetTable::presentCount(std::size_t dataCentre) const
{
    return this->countIn(dataCentre, false);
}

std::size_t TargetTable::ejectedCount(std::size_t dataCentre) const
{
    return this->countIn(dataCentre, true);
}

bool TargetTable::hasUsable() const
{
    return std::any_of(this->centres.begin(), this->centres.end(), [](const DataCentre &centre) {
        return centre.reachable && !centre.usable.empty();
    });
}

std::size_t TargetTable::centreFor(const DataCentreId &id)
{
    const auto found = std::find_if(this->centres.begin(), this->centres.end(),
                                    [&id](const DataCentre &centre) { return centre.id == id; });
    if (found != this->centres.end()) {
        return static_cast<std::size_t>(found - this->centres.begin());
    }
    this->centres.push_back(DataCentre { id, {}, true, 0, {} });
    return this->centres.size() - 1;
}

TargetIndex TargetTable::allocateIndex()
{
    for (std::size_t i = 0; i < this->targets.size(); ++i) {
        if (!this->targets[i].present && this->targets[i].inFlight == 0) {
            return TargetIndex(i);
        }
    }
    this->targets.emplace_back();
    return TargetIndex(this->targets.size() - 1);
}

void TargetTable::rebuildUsable(std::size_t dataCentre)
{
    std::vector<TargetIndex> &usable = this->centres[dataCentre].usable;
    usable.clear();
    for (std::size_t i = 0; i < this->targets.size(); ++i) {
        if (this->targets[i].dataCentre == dataCentre && this->targets[i].isUsable()) {
            usable.push_back(TargetIndex(i));
        }
    }
}

std::size_t TargetTable::countIn(std::size_t dataCentre, bool ejectedOnly) const
{
    return static_cast<std::size_t>(
            std::count_if(this->targets.begin(), this->targets.end(), [=](const Target &target) {
                return target.present && target.dataCentre == dataCentre
                        && (target.ejected || !ejectedOnly);
            }));
}

} // namespace bulrush::routing

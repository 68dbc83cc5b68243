#include "bulrush_routing/targets/TargetTable.h"

#include <algorithm>

namespace bulrush::routing {

namespace {

/** Weight of one report in the mean over its data centre's targets. */
constexpr double othersGain = 0.02;

/** Weight of one answer in a target's mean time to an answer. */
constexpr double answerGain = 0.05;

/** Weight of one answer in the mean over all targets. */
constexpr double answerMeanGain = 0.005;

constexpr std::uint8_t bitOf(LeavingSource source)
{
    return static_cast<std::uint8_t>(1U << static_cast<unsigned>(source));
}

void moveTowards(double &mean, double value, double gain)
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
    const TargetIndex index = added ? this->freeIndex() : known->second;
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
    this->rebuild(before);
    this->rebuild(target.dataCentre);
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
    this->rebuild(target.dataCentre);
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
    if (leaving && source == LeavingSource::OwnWord) {
        target.ownWordUntil = now + ownWordHold;
    }
    if (before != target.leavingSources) {
        this->rebuild(target.dataCentre);
    }
}

void TargetTable::setEjected(TargetIndex index, bool ejected)
{
    Target &target = this->targets[toSize(index)];
    if (target.ejected != ejected) {
        target.ejected = ejected;
        this->rebuild(target.dataCentre);
    }
}

void TargetTable::setFailuresInARow(TargetIndex index, unsigned failures)
{
    this->targets[toSize(index)].failuresInARow = failures;
}

void TargetTable::expireOwnWords(Instant now)
{
    for (std::size_t i = 0; i < this->targets.size(); ++i) {
        const Target &target = this->targets[i];
        const bool said = (target.leavingSources & bitOf(LeavingSource::OwnWord)) != 0;
        if (said && target.ownWordUntil <= now) {
            this->setLeaving(TargetIndex(i), LeavingSource::OwnWord, false, now);
        }
    }
}

void TargetTable::setReachable(const DataCentreId &id, bool reachable)
{
    this->centres[this->centreFor(id)].reachable = reachable;
}

void TargetTable::setOneWay(const DataCentreId &id, Duration oneWay)
{
    this->centres[this->centreFor(id)].oneWay = oneWay;
}

void TargetTable::beginRequest(TargetIndex index)
{
    ++this->targets[toSize(index)].inFlight;
}

void TargetTable::endRequest(TargetIndex index)
{
    --this->targets[toSize(index)].inFlight;
}

void TargetTable::noteReport(TargetIndex index, const TargetReport &report, Instant now)
{
    Target &target = this->targets[toSize(index)];
    if (report.leaving) {
        this->setLeaving(index, LeavingSource::OwnWord, true, now);
    }
    if (!report.load) {
        return;
    }
    target.others = std::max(0.0, static_cast<double>(*report.load) - target.inFlight);
    target.reportedAt = now;
    target.reported = true;
    double &mean = this->centres[target.dataCentre].othersMean;
    mean += othersGain * (target.others - mean);
}

void TargetTable::noteAnswerTime(TargetIndex index, Duration time)
{
    const double taken = std::chrono::duration<double>(time).count();
    moveTowards(this->targets[toSize(index)].answerSeconds, taken, answerGain);
    moveTowards(this->answerMean, taken, answerMeanGain);
}

std::optional<TargetIndex> TargetTable::find(const TargetId &id) const
{
    const auto found = this->indexes.find(id);
    if (found == this->indexes.end() || !this->at(found->second).present) {
        return std::nullopt;
    }
    return found->second;
}

std::size_t TargetTable::presentIn(std::size_t dataCentre) const
{
    return this->countIn(dataCentre, false);
}

std::size_t TargetTable::ejectedIn(std::size_t dataCentre) const
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

TargetIndex TargetTable::freeIndex()
{
    for (std::size_t i = 0; i < this->targets.size(); ++i) {
        if (!this->targets[i].present && this->targets[i].inFlight == 0) {
            return TargetIndex(i);
        }
    }
    this->targets.emplace_back();
    return TargetIndex(this->targets.size() - 1);
}

void TargetTable::rebuild(std::size_t dataCentre)
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

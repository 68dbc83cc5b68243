#include "bulrush_routing/choice/TargetChooser.h"

#include "bulrush_core/errors/Error.h"
#include "bulrush_routing/budgets/OutlierEjector.h"

#include <algorithm>
#include <tuple>

namespace bulrush::routing {

namespace {

/** Number of targets of a data centre that are compared, starting at a random one. */
constexpr std::size_t minCompared = 32;

/** Maximum number of targets that are examined to find one with capacity. */
constexpr std::size_t maxExamined = 200;

/** Requests beyond its slots that a target may have according to the load estimate. */
constexpr double queueAllowance = 2.0;

/** Factor by which the tie-breaker of a target with many consecutive failures is multiplied. */
constexpr double failingPenalty = 10.0;

/** Assumed answer time of a target without measurements, in seconds. */
constexpr double defaultAnswerSeconds = 0.02;

constexpr std::array<std::string_view, 4> names { "round-robin", "random", "least-in-flight",
                                                  "product" };

} // namespace

/** A target with capacity. */
struct TargetChooser::Candidate
{
    TargetIndex target;
    /** Expected wait for a slot plus the network round trip, in seconds. */
    double cost = 0;
    /** Orders targets of equal cost by load and answer time: answers slow down under load. */
    double tieBreaker = 0;

    bool operator<(const Candidate &other) const
    {
        return std::tie(this->cost, this->tieBreaker) < std::tie(other.cost, other.tieBreaker);
    }
};

/** A query on the targets of one data centre. */
struct TargetChooser::Scope
{
    const TargetTable &table;
    const DataCentre &centre;
    const ChoiceQuery &query;
    std::mt19937_64 &random;

    bool isEligible(TargetIndex index) const
    {
        return index != this->query.avoid && this->table.at(index).hasConnection();
    }

    /** Returns the target with its cost, or nothing if it has no capacity. */
    std::optional<Candidate> evaluate(TargetIndex index) const
    {
        const Target &target = this->table.at(index);
        const double load = estimatedLoad(this->table, target, this->query.now);
        if (!this->isEligible(index)
            || load + this->query.reserve >= target.slots + queueAllowance) {
            return std::nullopt;
        }
        const double seconds =
                target.answerSeconds > 0 ? target.answerSeconds : defaultAnswerSeconds;
        const double perSlot = seconds / target.slots;
        const double wait = std::max(0.0, load + 1 - target.slots) * perSlot;
        // A target that fails immediately appears idle; the penalty makes it appear loaded.
        const bool failing = target.consecutiveFailures >= OutlierEjector::failureThreshold;
        const double penalty = failing ? failingPenalty : 1.0;
        return Candidate { index, wait, (load + 1) * perSlot * penalty };
    }

    /** Draws a random position among the usable targets. */
    std::size_t drawPosition() const
    {
        // Multiplication and shift instead of a division; the bias is below 2^-32.
        const std::uint64_t bits = this->random() >> 32U;
        return (bits * this->centre.usable.size()) >> 32U;
    }
};

struct TargetChooser::StrategyEntry
{
    StrategyKind kind;
    Picker picker;
};

const TargetChooser::StrategyEntry &TargetChooser::entryFor(StrategyKind kind)
{
    static constexpr std::array entries {
        StrategyEntry { StrategyKind::RoundRobin, &TargetChooser::pickRoundRobin },
        StrategyEntry { StrategyKind::Random, &TargetChooser::pickRandom },
        StrategyEntry { StrategyKind::LeastInFlight, &TargetChooser::pickLeastInFlight },
        StrategyEntry { StrategyKind::Product, &TargetChooser::pickProduct },
    };
    return entries[static_cast<std::size_t>(kind)];
}

TargetChooser::TargetChooser(StrategyKind kind)
    : picker(entryFor(kind).picker)
{
}

StrategyKind TargetChooser::strategyFromName(std::string_view name)
{
    const auto found = std::find(names.begin(), names.end(), name);
    if (found == names.end()) {
        throw Error("choose strategy", name, "unknown strategy");
    }
    return static_cast<StrategyKind>(found - names.begin());
}

std::span<const std::string_view> TargetChooser::strategyNames()
{
    return names;
}

std::optional<TargetIndex> TargetChooser::choose(const TargetTable &table, const ChoiceQuery &query,
                                                 std::mt19937_64 &random)
{
    std::optional<Candidate> best;
    for (const DataCentre &centre : table.dataCentres()) {
        const double roundTrip = 2 * std::chrono::duration<double>(centre.oneWayDelay).count();
        const bool tooFar = best && best->cost <= roundTrip;
        if (!centre.reachable || centre.usable.empty() || tooFar) {
            continue;
        }
        auto candidate = (this->*this->picker)(Scope { table, centre, query, random });
        if (candidate) {
            candidate->cost += roundTrip;
            best = !best || *candidate < *best ? candidate : best;
        }
    }
    return best ? std::optional(best->target) : std::nullopt;
}

double TargetChooser::estimatedLoad(const TargetTable &table, const Target &target, Instant now)
{
    double otherNodesLoad = table.meanOtherNodesLoad(target.dataCentre);
    if (target.hasReport) {
        const double age = static_cast<double>((now - target.reportedAt).count());
        constexpr double half = static_cast<double>(reportHalfLife.count());
        const double weight = half / (half + age);
        otherNodesLoad += weight * (target.otherNodesLoad - otherNodesLoad);
    }
    return target.inFlight + otherNodesLoad;
}

std::optional<TargetChooser::Candidate> TargetChooser::pickRoundRobin(const Scope &scope)
{
    for (std::size_t i = 0; i < scope.centre.usable.size(); ++i) {
        const TargetIndex index =
                scope.centre.usable[this->rotation++ % scope.centre.usable.size()];
        if (scope.isEligible(index)) {
            return Candidate { index };
        }
    }
    return std::nullopt;
}

std::optional<TargetChooser::Candidate> TargetChooser::pickRandom(const Scope &scope)
{
    const TargetIndex drawn = scope.centre.usable[scope.drawPosition()];
    if (scope.isEligible(drawn)) {
        return Candidate { drawn };
    }
    return this->pickRoundRobin(scope);
}

std::optional<TargetChooser::Candidate> TargetChooser::pickLeastInFlight(const Scope &scope)
{
    std::optional<TargetIndex> best;
    const std::size_t count = scope.centre.usable.size();
    const std::size_t start = ++this->rotation;
    for (std::size_t i = 0; i < count; ++i) {
        const TargetIndex index = scope.centre.usable[(start + i) % count];
        const bool better =
                !best || scope.table.at(index).inFlight < scope.table.at(*best).inFlight;
        if (scope.isEligible(index) && better) {
            best = index;
        }
    }
    return best ? std::optional(Candidate { *best }) : std::nullopt;
}

std::optional<TargetChooser::Candidate> TargetChooser::pickProduct(const Scope &scope)
{
    std::optional<Candidate> best;
    const std::vector<TargetIndex> &usable = scope.centre.usable;
    const std::size_t count = std::min(usable.size(), maxExamined);
    std::size_t position = scope.drawPosition();
    for (std::size_t i = 0; i < count && !(best && i >= minCompared); ++i) {
        const auto candidate = scope.evaluate(usable[position]);
        if (candidate && (!best || *candidate < *best)) {
            best = candidate;
        }
        position = position + 1 == usable.size() ? 0 : position + 1;
    }
    return best;
}

} // namespace bulrush::routing

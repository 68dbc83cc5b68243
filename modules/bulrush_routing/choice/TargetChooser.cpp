#include "bulrush_routing/choice/TargetChooser.h"

#include "bulrush_core/errors/Error.h"
#include "bulrush_routing/budgets/OutlierEjector.h"

#include <algorithm>
#include <tuple>

namespace bulrush::routing {

namespace {

/** How many targets of a data centre are compared, from a random one on. */
constexpr std::size_t comparedTargets = 32;

/** How many are looked at until one with room is found. */
constexpr std::size_t mostLookedAt = 200;

/** Requests beyond its slots that a target may hold by the estimate. */
constexpr double queueAllowance = 2.0;

/** How much more loaded a target looks that fails request after request. */
constexpr double failingPenalty = 10.0;

/** Stands for an answer's time where none has been seen yet, in seconds. */
constexpr double assumedAnswerSeconds = 0.02;

constexpr std::array<std::string_view, 4> names { "round-robin", "random", "least-in-flight",
                                                  "product" };

} // namespace

/** A target with room. */
struct TargetChooser::Pick
{
    TargetIndex target;
    /** Expected wait for a slot and for the way there and back, in seconds. */
    double cost = 0;
    /** Tells targets of equal cost apart: the time to an answer grows with the load. */
    double spread = 0;

    bool operator<(const Pick &other) const
    {
        return std::tie(this->cost, this->spread) < std::tie(other.cost, other.spread);
    }
};

/** The targets of one data centre, and the query. */
struct TargetChooser::Scope
{
    const TargetTable &table;
    const DataCentre &centre;
    const ChoiceQuery &query;
    std::mt19937_64 &random;

    bool fits(TargetIndex index) const
    {
        return index != this->query.avoid && this->table.at(index).hasConnection();
    }

    /** Returns what a target would cost, or nothing where it has no room. */
    std::optional<Pick> consider(TargetIndex index) const
    {
        const Target &target = this->table.at(index);
        const double load = estimatedLoad(this->table, target, this->query.now);
        if (!this->fits(index) || load + this->query.reserve >= target.slots + queueAllowance) {
            return std::nullopt;
        }
        const double seconds =
                target.answerSeconds > 0 ? target.answerSeconds : assumedAnswerSeconds;
        const double perSlot = seconds / target.slots;
        const double wait = std::max(0.0, load + 1 - target.slots) * perSlot;
        // A target that fails at once looks idle; it has to look loaded instead.
        const bool failing = target.failuresInARow >= OutlierEjector::failuresInARow;
        const double penalty = failing ? failingPenalty : 1.0;
        return Pick { index, wait, (load + 1) * perSlot * penalty };
    }

    /** Draws a position among the usable targets. */
    std::size_t drawPosition() const
    {
        // A multiply and shift in place of a division; the bias is below 2^-32.
        const std::uint64_t bits = this->random() >> 32U;
        return (bits * this->centre.usable.size()) >> 32U;
    }
};

struct TargetChooser::Row
{
    StrategyKind kind;
    Picker picker;
};

const TargetChooser::Row &TargetChooser::rowOf(StrategyKind kind)
{
    static constexpr std::array rows {
        Row { StrategyKind::RoundRobin, &TargetChooser::pickRoundRobin },
        Row { StrategyKind::Random, &TargetChooser::pickRandom },
        Row { StrategyKind::LeastInFlight, &TargetChooser::pickLeastInFlight },
        Row { StrategyKind::Product, &TargetChooser::pickProduct },
    };
    return rows[static_cast<std::size_t>(kind)];
}

TargetChooser::TargetChooser(StrategyKind kind)
    : picker(rowOf(kind).picker)
{
}

StrategyKind TargetChooser::strategyNamed(std::string_view name)
{
    const auto found = std::find(names.begin(), names.end(), name);
    if (found == names.end()) {
        throw Error("choose strategy", name, "unknown name");
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
    std::optional<Pick> best;
    for (const DataCentre &centre : table.dataCentres()) {
        const double roundTrip = 2 * std::chrono::duration<double>(centre.oneWay).count();
        const bool tooFar = best && best->cost <= roundTrip;
        if (!centre.reachable || centre.usable.empty() || tooFar) {
            continue;
        }
        auto pick = (this->*this->picker)(Scope { table, centre, query, random });
        if (pick) {
            pick->cost += roundTrip;
            best = !best || *pick < *best ? pick : best;
        }
    }
    return best ? std::optional(best->target) : std::nullopt;
}

double TargetChooser::estimatedLoad(const TargetTable &table, const Target &target, Instant now)
{
    double others = table.meanOthers(target.dataCentre);
    if (target.reported) {
        const double age = static_cast<double>((now - target.reportedAt).count());
        constexpr double half = static_cast<double>(reportHalfLife.count());
        const double weight = half / (half + age);
        others += weight * (target.others - others);
    }
    return target.inFlight + others;
}

std::optional<TargetChooser::Pick> TargetChooser::pickRoundRobin(const Scope &scope)
{
    for (std::size_t i = 0; i < scope.centre.usable.size(); ++i) {
        const TargetIndex index = scope.centre.usable[this->turn++ % scope.centre.usable.size()];
        if (scope.fits(index)) {
            return Pick { index };
        }
    }
    return std::nullopt;
}

std::optional<TargetChooser::Pick> TargetChooser::pickRandom(const Scope &scope)
{
    const TargetIndex drawn = scope.centre.usable[scope.drawPosition()];
    if (scope.fits(drawn)) {
        return Pick { drawn };
    }
    return this->pickRoundRobin(scope);
}

std::optional<TargetChooser::Pick> TargetChooser::pickLeastInFlight(const Scope &scope)
{
    std::optional<TargetIndex> best;
    const std::size_t count = scope.centre.usable.size();
    const std::size_t start = ++this->turn;
    for (std::size_t i = 0; i < count; ++i) {
        const TargetIndex index = scope.centre.usable[(start + i) % count];
        const bool better =
                !best || scope.table.at(index).inFlight < scope.table.at(*best).inFlight;
        if (scope.fits(index) && better) {
            best = index;
        }
    }
    return best ? std::optional(Pick { *best }) : std::nullopt;
}

std::optional<TargetChooser::Pick> TargetChooser::pickProduct(const Scope &scope)
{
    std::optional<Pick> best;
    const std::vector<TargetIndex> &usable = scope.centre.usable;
    const std::size_t count = std::min(usable.size(), mostLookedAt);
    std::size_t position = scope.drawPosition();
    for (std::size_t i = 0; i < count && !(best && i >= comparedTargets); ++i) {
        const auto pick = scope.consider(usable[position]);
        if (pick && (!best || *pick < *best)) {
            best = pick;
        }
        position = position + 1 == usable.size() ? 0 : position + 1;
    }
    return best;
}

} // namespace bulrush::routing

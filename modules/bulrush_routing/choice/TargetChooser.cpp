#include "bulrush_routing/choice/TargetChooser.h"

#include "bulrush_core/errors/Error.h"

#include <algorithm>
#include <limits>

namespace bulrush::routing {

namespace {

/** How many targets of a data centre are compared, from a random one on. */
constexpr std::size_t comparedTargets = 32;

/** How many are looked at until one with room is found. */
constexpr std::size_t mostLookedAt = 400;

/** Requests beyond its slots that a target may hold by the estimate. */
constexpr double queueAllowance = 1.0;

/** Stands for an answer's time where none has been seen yet, in seconds. */
constexpr double assumedAnswerSeconds = 0.02;

/** The score of a target without room. */
constexpr double full = std::numeric_limits<double>::max();

constexpr std::array<std::string_view, 4> names { "round-robin", "random", "least-in-flight",
                                                  "product" };

} // namespace

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

    /** Returns the expected time to an answer in seconds, or full. */
    double score(TargetIndex index) const
    {
        const Target &target = this->table.at(index);
        const double load = estimatedLoad(this->table, target, this->query.now);
        if (!this->fits(index) || load >= target.slots + queueAllowance) {
            return full;
        }
        const double seconds =
                target.answerSeconds > 0 ? target.answerSeconds : assumedAnswerSeconds;
        return (load + 1) / target.slots * seconds;
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
    for (const DataCentre &centre : table.dataCentres()) {
        if (!centre.reachable || centre.usable.empty()) {
            continue;
        }
        if (const auto picked = (this->*this->picker)(Scope { table, centre, query, random })) {
            return picked;
        }
    }
    return std::nullopt;
}

double TargetChooser::estimatedLoad(const TargetTable &table, const Target &target, Instant now)
{
    double others = table.meanOthers();
    if (target.reported) {
        const double age = static_cast<double>((now - target.reportedAt).count());
        const double weight = 1.0 / (1.0 + age / static_cast<double>(reportHalfLife.count()));
        others += weight * (target.others - others);
    }
    return target.inFlight + others;
}

std::optional<TargetIndex> TargetChooser::pickRoundRobin(const Scope &scope)
{
    for (std::size_t i = 0; i < scope.centre.usable.size(); ++i) {
        const TargetIndex index = scope.centre.usable[this->turn++ % scope.centre.usable.size()];
        if (scope.fits(index)) {
            return index;
        }
    }
    return std::nullopt;
}

std::optional<TargetIndex> TargetChooser::pickRandom(const Scope &scope)
{
    const TargetIndex drawn = scope.centre.usable[scope.drawPosition()];
    if (scope.fits(drawn)) {
        return drawn;
    }
    return this->pickRoundRobin(scope);
}

std::optional<TargetIndex> TargetChooser::pickLeastInFlight(const Scope &scope)
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
    return best;
}

std::optional<TargetIndex> TargetChooser::pickProduct(const Scope &scope)
{
    std::optional<TargetIndex> best;
    double bestScore = full;
    const auto consider = [&](TargetIndex index) {
        const double score = scope.score(index);
        if (score < bestScore) {
            best = index;
            bestScore = score;
        }
    };
    const std::vector<TargetIndex> &usable = scope.centre.usable;
    const std::size_t count = std::min(usable.size(), mostLookedAt);
    std::size_t position = scope.drawPosition();
    for (std::size_t i = 0; i < count && !(best && i >= comparedTargets); ++i) {
        consider(usable[position]);
        position = position + 1 == usable.size() ? 0 : position + 1;
    }
    return best;
}

} // namespace bulrush::routing

#pragma once

#include "bulrush_routing/targets/TargetTable.h"

#include <optional>
#include <random>
#include <span>
#include <string_view>

namespace bulrush::routing {

/** One choice to make. */
struct ChoiceQuery
{
    Instant now;
    /** A target to stay away from, such as the one that the last attempt failed on. */
    std::optional<TargetIndex> avoid;
    /** Room on each target that is left to requests of a higher class. */
    double reserve = 0;
};

/** A way to choose among targets. */
enum class StrategyKind : std::uint8_t { RoundRobin, Random, LeastInFlight, Product };

/**
    Picks the target of a request, or none when none has room. The product's strategy goes to
    another data centre in reach when the expected wait at home is longer than the way there and
    back; the others only when no target at home has room.
*/
class TargetChooser
{
public:
    /** Weight of a report halves when it is this old. */
    static constexpr Duration reportHalfLife = milliseconds(25);

    explicit TargetChooser(StrategyKind kind);

    /** Picks a target, or nothing where every one is full. */
    std::optional<TargetIndex> choose(const TargetTable &table, const ChoiceQuery &query,
                                      std::mt19937_64 &random);

    /** Returns the strategy of a name. @throws Error when there is none */
    static StrategyKind strategyNamed(std::string_view name);

    /** Returns all names, in the order of StrategyKind. */
    static std::span<const std::string_view> strategyNames();

    /** Returns a target's estimated load: own requests and the aged report of the others'. */
    static double estimatedLoad(const TargetTable &table, const Target &target, Instant now);

private:
    struct Scope;
    struct Pick;
    using Picker = std::optional<Pick> (TargetChooser::*)(const Scope &);
    struct Row;

    static const Row &rowOf(StrategyKind kind);

    std::optional<Pick> pickRoundRobin(const Scope &scope);
    std::optional<Pick> pickRandom(const Scope &scope);
    std::optional<Pick> pickLeastInFlight(const Scope &scope);
    std::optional<Pick> pickProduct(const Scope &scope);

    Picker picker;
    std::size_t turn = 0;
};

} // namespace bulrush::routing

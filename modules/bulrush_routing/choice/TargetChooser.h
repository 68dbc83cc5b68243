#pragma once

#include "bulrush_routing/targets/TargetTable.h"

#include <optional>
#include <random>
#include <span>
#include <string_view>

namespace bulrush::routing {

/** Parameters of one target selection. */
struct ChoiceQuery
{
    Instant now;
    /** A target to exclude, such as the one on which the last attempt failed. */
    std::optional<TargetIndex> avoid;
    /** Capacity of each target, in slots, that is reserved for requests of a higher class. */
    double reserve = 0;
};

/** Strategy for selecting a target. Product is this product's own strategy: it compares targets by
    the expected wait for a slot plus the network round trip. */
enum class StrategyKind : std::uint8_t { RoundRobin, Random, LeastInFlight, Product };

/**
    Selects the target of a request, or none if no target has capacity. StrategyKind::Product
    selects a target in another reachable data centre if no target of the node's own data centre has
    capacity, or if the expected wait there exceeds the round trip to the other one plus the
    expected wait in it. The other strategies do so only if no target of the node's own data centre
    is available.
*/
class TargetChooser
{
public:
    /** Age at which the weight of a load report has halved. */
    static constexpr Duration reportHalfLife = milliseconds(25);

    explicit TargetChooser(StrategyKind kind);

    /** Returns a target, or nothing if none has capacity. */
    std::optional<TargetIndex> choose(const TargetTable &table, const ChoiceQuery &query,
                                      std::mt19937_64 &random);

    /** Returns the strategy with a name. @throws Error if the name is unknown */
    static StrategyKind strategyFromName(std::string_view name);

    /** Returns the names of all strategies, in the order of StrategyKind. */
    static std::span<const std::string_view> strategyNames();

    /** Returns the estimated load of a target: the requests of this node plus the last reported
        requests of other nodes, weighted by the age of the report against the mean. */
    static double estimatedLoad(const TargetTable &table, const Target &target, Instant now);

private:
    struct Scope;
    struct Candidate;
    using Picker = std::optional<Candidate> (TargetChooser::*)(const Scope &);
    struct StrategyEntry;

    static const StrategyEntry &entryFor(StrategyKind kind);

    std::optional<Candidate> pickRoundRobin(const Scope &scope);
    std::optional<Candidate> pickRandom(const Scope &scope);
    std::optional<Candidate> pickLeastInFlight(const Scope &scope);
    std::optional<Candidate> pickProduct(const Scope &scope);

    Picker picker;
    std::size_t rotation = 0;
};

} // namespace bulrush::routing

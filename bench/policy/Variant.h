#pragma once

#include "bulrush_placement/policy/PlacementPolicy.h"

#include <array>
#include <string_view>

namespace bulrush::bench {

/** One variant of the placement policy to measure. */
struct Variant
{
    std::string_view name;
    placement::Strategy strategy = placement::Strategy::Learned;
    placement::Mechanisms mechanisms;
    bool usesLadder = true; ///< if false, a guard evicts the largest batch task
};

inline constexpr std::array allVariants {
    Variant { "random fit", placement::Strategy::RandomFit, {}, false },
    Variant { "first fit", placement::Strategy::FirstFit, {}, false },
    Variant { "bulrushrill", placement::Strategy::Learned, {}, true },
    Variant { "no learned usage", placement::Strategy::Learned, { .learnedUsage = false }, true },
    Variant { "no interference", placement::Strategy::Learned, { .interference = false }, true },
    Variant { "no rack spreading", placement::Strategy::Learned, { .rackSpreading = false }, true },
    Variant { "no headroom", placement::Strategy::Learned, { .urgentHeadroom = false }, true },
    Variant { "no ladder", placement::Strategy::Learned, {}, false },
};

} // namespace bulrush::bench

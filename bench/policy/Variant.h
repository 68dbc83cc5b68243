#pragma once

#include "bulrush_placement/policy/PlacementPolicy.h"

#include <array>
#include <string_view>

namespace bulrush::bench {

/** One policy to measure. */
struct Variant
{
    std::string_view name;
    placement::Strategy strategy = placement::Strategy::Learned;
    placement::Mechanisms mechanisms;
    bool usesLadder = true; ///< else a guard evicts the largest batch task
};

inline constexpr std::array allVariants {
    Variant { "random fit", placement::Strategy::RandomFit, {}, false },
    Variant { "first fit", placement::Strategy::FirstFit, {}, false },
    Variant { "bulrushrill", placement::Strategy::Learned, {}, true },
    Variant { "no learned usage", placement::Strategy::Learned, { false, true, true }, true },
    Variant { "no interference", placement::Strategy::Learned, { true, false, true }, true },
    Variant { "no rack spreading", placement::Strategy::Learned, { true, true, false }, true },
    Variant { "no ladder", placement::Strategy::Learned, {}, false },
};

} // namespace bulrush::bench

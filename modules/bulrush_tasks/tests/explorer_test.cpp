#include "explorer/Mutations.h"

#include <criterion/criterion.h>

#include <array>

using namespace bulrush::explorer;

namespace {

void expectNoFault(std::uint64_t first, std::uint64_t count)
{
    const auto finding = exploreSeeds({}, first, count);
    cr_assert_not(finding.has_value(), "%s", finding ? describe(*finding).c_str() : "");
}

} // namespace

Test(Explorer, seedsOfTheFirstQuarterFindNoFault)
{
    expectNoFault(1, 500);
}

Test(Explorer, seedsOfTheSecondQuarterFindNoFault)
{
    expectNoFault(501, 500);
}

Test(Explorer, seedsOfTheThirdQuarterFindNoFault)
{
    expectNoFault(1001, 500);
}

Test(Explorer, seedsOfTheFourthQuarterFindNoFault)
{
    expectNoFault(1501, 500);
}
